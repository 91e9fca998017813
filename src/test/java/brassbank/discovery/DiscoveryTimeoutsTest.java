package brassbank.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * In the worst sequences of events at discovery, the sum of times must leave room for an answer.
 */
class DiscoveryTimeoutsTest {
  private static final long SECOND = 1_000_000;

  /** How often discovery sends an empty line on a watch. */
  private static final long EMPTY_LINE_INTERVAL = 2 * SECOND;

  /** How late an empty line may be from a busy machine. */
  private static final long MAX_LATENESS = SECOND / 4;

  @Test
  void silentWatchAndHangingCallLeaveTimeForTheHedge() {
    long sum =
        DiscoveryTimeouts.SILENCE_MICROS
            + DiscoveryTimeouts.maxDelayMicros(DiscoveryTimeouts.MIN_RETRY_DELAY_MICROS)
            + DiscoveryTimeouts.HEDGE_MICROS;
    assertThat(sum)
        .isEqualTo(
            DiscoveryTimeouts.REPORT_BOUND_MICROS
                - DiscoveryTimeouts.answerTimeAfterSilenceMicros());
    assertThat(DiscoveryTimeouts.answerTimeAfterSilenceMicros())
        .isGreaterThanOrEqualTo(3 * SECOND / 2);
  }

  @Test
  void connectTimeoutLeavesTimeForTheNextCall() {
    long sum =
        DiscoveryTimeouts.SILENCE_MICROS
            + DiscoveryTimeouts.maxDelayMicros(DiscoveryTimeouts.MIN_RETRY_DELAY_MICROS)
            + DiscoveryTimeouts.CONNECT_MICROS
            + DiscoveryTimeouts.maxDelayMicros(2 * DiscoveryTimeouts.MIN_RETRY_DELAY_MICROS);
    assertThat(DiscoveryTimeouts.REPORT_BOUND_MICROS - sum).isGreaterThanOrEqualTo(3 * SECOND / 2);
  }

  @Test
  void callThatHangsWhileDiscoveryReturnsLeavesTimeForTheNext() {
    assertThat(DiscoveryTimeouts.answerTimeAfterHungCallMicros()).isGreaterThanOrEqualTo(SECOND);
  }

  @Test
  void liveWatchDoesNotCountAsSilent() {
    assertThat(DiscoveryTimeouts.SILENCE_MICROS)
        .isGreaterThanOrEqualTo(EMPTY_LINE_INTERVAL + MAX_LATENESS);
  }

  /** A hedge is a further call of its kind, of which at most four may start within 2 s. */
  @Test
  void callRateStaysWithinTheMinimumCallInterval() {
    assertThat(DiscoveryTimeouts.HEDGE_MICROS)
        .isGreaterThanOrEqualTo(DiscoveryTimeouts.MIN_CALL_INTERVAL_MICROS);
    assertThat(2 * SECOND / DiscoveryTimeouts.MIN_CALL_INTERVAL_MICROS).isLessThanOrEqualTo(4);
  }
}
