package brassbank.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class DescriptorShareTest {
  private static final int SOCKETS = 384;

  @Test
  void aProxyThatIsNeverUpgradedHasAll() {
    assertThat(new DescriptorShare(SOCKETS, false).limit()).isEqualTo(SOCKETS);
  }

  /** The old one's clients leave one by one and come to the new one. */
  @Test
  void twoNeverHoldMoreThanOneMayAndTheNewOneGetsWhatTheOldOneGivesUp() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      DescriptorShare old = new DescriptorShare(SOCKETS, true);
      DescriptorShare next = new DescriptorShare(SOCKETS, true);
      assertThat(next.limit()).as("before it knows").isEqualTo(DescriptorShare.START);
      old.needs(true, 0);
      assertThat(old.limit() + DescriptorShare.START).as("to start").isLessThanOrEqualTo(SOCKETS);
      int holds = 60 + random.nextInt(old.limit() - 60);
      next.predecessor(1, old.limit());
      next.needs(true, 0);
      while (holds > 60) {
        holds -= random.nextInt(10);
        old.needs(false, holds + random.nextInt(20));
        assertThat(old.limit()).isGreaterThanOrEqualTo(Math.min(holds, old.limit()));
        // What was read last may be old: it was more.
        assertThat(old.limit() + next.limit()).as("seed " + seed).isLessThanOrEqualTo(SOCKETS);
        if (random.nextBoolean()) {
          next.predecessor(1, old.limit());
        }
      }
      next.predecessor(1, 0);
      assertThat(next.limit()).isEqualTo(SOCKETS - DescriptorShare.START);
    }
  }

  @Test
  void whoTakesTheDoorBackHasAllAgain() {
    DescriptorShare old = new DescriptorShare(SOCKETS, true);
    old.needs(true, 0);
    int before = old.limit();
    old.needs(false, 100);
    assertThat(old.limit()).isEqualTo(100);
    old.needs(true, 100);
    assertThat(old.limit()).isEqualTo(before);
  }
}
