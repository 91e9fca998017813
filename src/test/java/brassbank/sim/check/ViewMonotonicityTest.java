package brassbank.sim.check;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.sim.event.Event;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * No process of the program produces such a view, and none can be made to, so the views are
 * constructed here.
 */
class ViewMonotonicityTest {
  private static final GroundTruth NO_TRUTH =
      new GroundTruth() {
        @Override
        public long clientCalmSince(String flow) {
          return 0;
        }

        @Override
        public long hostCalmSince(String flow) {
          return 0;
        }

        @Override
        public long proxyCalmSince(String proxy) {
          return 0;
        }

        @Override
        public long discoverySoundSince(String proxy) {
          return 0;
        }

        @Override
        public int descriptors(String proxy) {
          return 0;
        }

        @Override
        public int descriptorLimit(String proxy) {
          return 0;
        }

        @Override
        public double fleetLoad() {
          return 0;
        }

        @Override
        public List<String> usableHosts(long forMicros) {
          return List.of();
        }
      };

  private static Event view(long version, String state, long birth, int raised) {
    return new Event.ViewSeen(
        "n0", 1, version, true, false, List.of(new Event.Seen("n1", state, birth, raised)));
  }

  private static int breaches(Event first, Event second) {
    Checks checks = new Checks(List.of(new ViewMonotonicity()), NO_TRUTH);
    checks.onEvent(1, first);
    checks.onEvent(2, second);
    return checks.breaches().size();
  }

  @Test
  void catchesAViewWhoseVersionOrIncarnationDecreases() {
    assertThat(breaches(view(4, "alive", 7, 1), view(5, "alive", 7, 2))).isZero();
    assertThat(breaches(view(4, "dead", 7, 1), view(5, "alive", 8, 0))).isZero();
    assertThat(breaches(view(4, "alive", 7, 1), view(4, "alive", 7, 2))).isOne();
    assertThat(breaches(view(4, "alive", 7, 1), view(5, "alive", 7, 0))).isOne();
    assertThat(breaches(view(4, "dead", 7, 1), view(5, "alive", 7, 1))).isOne();
    assertThat(breaches(view(4, "left", 7, 1), view(5, "suspect", 7, 1))).isOne();
  }
}
