package ashspar.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Twenty servers: the first four its own, the first ten of its zone. */
class ReachTest {
  private static final long SECOND = 1_000_000;
  private static final List<Integer> ALL = IntStream.range(0, 20).boxed().toList();

  private final Reach reach = new Reach();

  private Reach.Extent look(long second, int takeFrom) {
    reach.look(second * SECOND, ALL, s -> s < 4, s -> s < 10, s -> s >= takeFrom);
    return reach.extent();
  }

  @Test
  void widensStepByStepAndEndsWithWhatWasMissing() {
    assertThat(look(1, 0)).isEqualTo(Reach.Extent.OWN);
    assertThat(look(2, 3)).as("one of its own takes more").isEqualTo(Reach.Extent.ZONE);
    assertThat(look(3, 3)).as("the zone has enough").isEqualTo(Reach.Extent.ZONE);
    assertThat(look(4, 10)).as("its zone is lost").isEqualTo(Reach.Extent.ALL);
    assertThat(look(20, 10)).isEqualTo(Reach.Extent.ALL);
    assertThat(look(23, 0)).as("not at once").isEqualTo(Reach.Extent.ALL);
    assertThat(look(24, 0)).isEqualTo(Reach.Extent.ZONE);
    assertThat(look(27, 0)).isEqualTo(Reach.Extent.ZONE);
    assertThat(look(28, 0)).isEqualTo(Reach.Extent.OWN);
  }

  @Test
  void widensAtOnceForARequestThatFoundNoRoom() {
    reach.missed(SECOND, 0);
    assertThat(reach.extent()).isEqualTo(Reach.Extent.ZONE);
    reach.missed(SECOND, 0);
    assertThat(reach.extent()).as("the zone was not tried").isEqualTo(Reach.Extent.ZONE);
    reach.missed(SECOND, 1);
    assertThat(reach.extent()).isEqualTo(Reach.Extent.ALL);
    assertThat(reach.covers(false)).isTrue();
    reach.missed(SECOND, Reach.LAST);
    assertThat(reach.extent()).isEqualTo(Reach.Extent.ALL);
  }

  @Test
  void triesItsOwnThenWhatAnswersNearThenOthersAndTheUnknownLast() {
    assertThat(Reach.tier(true, true, false)).isEqualTo(0);
    assertThat(Reach.tier(false, true, true)).isEqualTo(1);
    assertThat(Reach.tier(true, false, true)).isEqualTo(2);
    assertThat(Reach.tier(false, false, true)).isEqualTo(2);
    assertThat(Reach.tier(false, true, false)).isEqualTo(Reach.LAST);
  }
}
