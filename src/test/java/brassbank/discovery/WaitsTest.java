package brassbank.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The worst orders of what discovery does, as sums: each must leave time for an answer. */
class WaitsTest {
  private static final long SECOND = 1_000_000;

  /** A watch's empty line, which comes every 2 s, may be late by a busy machine's hesitation. */
  private static final long EMPTY_LINE = 2 * SECOND;

  private static final long HESITATION = SECOND / 4;

  @Test
  void aWatchThatFallsSilentAndACallThatHangsLeaveTimeForTheCallBeside() {
    long sum = Waits.SILENCE + Waits.longest(Waits.FIRST_PAUSE) + Waits.BESIDE;
    assertThat(sum).isEqualTo(Waits.TOLD - Waits.leftAfterSilence());
    assertThat(Waits.leftAfterSilence()).isGreaterThanOrEqualTo(3 * SECOND / 2);
  }

  @Test
  void aConnectThatNeverComesUpLeavesTimeForTheNextCall() {
    long sum =
        Waits.SILENCE
            + Waits.longest(Waits.FIRST_PAUSE)
            + Waits.CONNECT
            + Waits.longest(2 * Waits.FIRST_PAUSE);
    assertThat(Waits.TOLD - sum).isGreaterThanOrEqualTo(3 * SECOND / 2);
  }

  @Test
  void aCallThatHangsAsDiscoveryReturnsLeavesTimeForTheNext() {
    assertThat(Waits.leftAfterReturn()).isGreaterThanOrEqualTo(SECOND);
  }

  @Test
  void aWatchThatLivesIsNotTakenForSilent() {
    assertThat(Waits.SILENCE).isGreaterThanOrEqualTo(EMPTY_LINE + HESITATION);
  }

  /** Two calls a turn at most, each kind no sooner than this after the one before. */
  @Test
  void aProxyCallsNoOftenerThanCallsOfAKindMayFollowOneAnother() {
    assertThat(Waits.BESIDE).isGreaterThanOrEqualTo(Waits.APART);
    assertThat(2 * SECOND / Waits.APART).isLessThanOrEqualTo(4);
  }
}
