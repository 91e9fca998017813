package brassbank.handover;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class DescriptorShareTest {
  private static final int TOTAL_LIMIT = 384;

  @Test
  void aProxyThatIsNeverUpgradedMayHoldAllDescriptors() {
    assertThat(new DescriptorShare(TOTAL_LIMIT, false).limit()).isEqualTo(TOTAL_LIMIT);
  }

  /** The predecessor's clients leave one by one and reconnect to the successor. */
  @Test
  void twoProcessesStayWithinTheLimitAndTheSuccessorGetsWhatThePredecessorReleases() {
    for (int seed = 0; seed < 200; seed++) {
      Random random = new Random(seed);
      DescriptorShare predecessor = new DescriptorShare(TOTAL_LIMIT, true);
      DescriptorShare successor = new DescriptorShare(TOTAL_LIMIT, true);
      assertThat(successor.limit())
          .as("before it has read the predecessor's limit")
          .isEqualTo(DescriptorShare.STARTUP_DESCRIPTORS);
      predecessor.updateNeed(true, 0);
      assertThat(predecessor.limit() + DescriptorShare.STARTUP_DESCRIPTORS)
          .as("descriptors held back for a start")
          .isLessThanOrEqualTo(TOTAL_LIMIT);
      int held = 60 + random.nextInt(predecessor.limit() - 60);
      successor.setPredecessorLimit(1, predecessor.limit());
      successor.updateNeed(true, 0);
      while (held > 60) {
        held -= random.nextInt(10);
        predecessor.updateNeed(false, held + random.nextInt(20));
        assertThat(predecessor.limit()).isGreaterThanOrEqualTo(Math.min(held, predecessor.limit()));
        // The limit that was read last may be outdated; it was higher then.
        assertThat(predecessor.limit() + successor.limit())
            .as("seed " + seed)
            .isLessThanOrEqualTo(TOTAL_LIMIT);
        if (random.nextBoolean()) {
          successor.setPredecessorLimit(1, predecessor.limit());
        }
      }
      successor.setPredecessorLimit(1, 0);
      assertThat(successor.limit()).isEqualTo(TOTAL_LIMIT - DescriptorShare.STARTUP_DESCRIPTORS);
    }
  }

  @Test
  void aProcessThatAcceptsClientsAgainRegainsItsFullLimit() {
    DescriptorShare share = new DescriptorShare(TOTAL_LIMIT, true);
    share.updateNeed(true, 0);
    int before = share.limit();
    share.updateNeed(false, 100);
    assertThat(share.limit()).isEqualTo(100);
    share.updateNeed(true, 100);
    assertThat(share.limit()).isEqualTo(before);
  }
}
