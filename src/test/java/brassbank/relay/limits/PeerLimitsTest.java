package brassbank.relay.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import brassbank.relay.limits.DisconnectDecision.Reason;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PeerLimitsTest {
  private static final long SECOND = 1_000_000;

  /** 10 s of age, 100 bytes a second over 4 s, 5 s for a line. */
  private static final SideLimits SIDE =
      new SideLimits(1_000, 0, 10 * SECOND, 100, 4 * SECOND, 5 * SECOND);

  private final PeerLimits limits =
      new PeerLimits(
          new RelayLimits(1_000, 10_000, 3_000, Map.of("small", 500L), SIDE, SIDE, SECOND));

  private final SessionPeers session = limits.open(1, "acme");

  /** Judges each 0.25 s of a span, and returns the first verdicts, or none. */
  private List<DisconnectDecision> judged(long from, long to, Runnable each) {
    for (long now = from; now <= to; now += SECOND / 4) {
      each.run();
      List<DisconnectDecision> verdicts = limits.evaluate(now);
      if (!verdicts.isEmpty()) {
        return verdicts;
      }
    }
    return List.of();
  }

  @Test
  void letsAPeerLiveThatStopsForThreeSecondsAndGoesOn() {
    limits.bytesQueued(session, Side.CLIENT, 900, 0);
    assertThat(judged(0, 3 * SECOND, () -> {})).isEmpty();
    limits.bytesDrained(session, Side.CLIENT, 600);
    assertThat(judged(3 * SECOND, 5 * SECOND, () -> {})).isEmpty();
    limits.bytesDrained(session, Side.CLIENT, 300);
    assertThat(judged(5 * SECOND, 60 * SECOND, () -> {})).isEmpty();
    assertThat(limits.evaluationDelayMicros()).isEqualTo(-1);
  }

  @Test
  void givesAPeerUpThatReadsOneByteASecondOnceTheWindowIsOver() {
    limits.bytesQueued(session, Side.CLIENT, 900, 0);
    int[] turn = {0};
    List<DisconnectDecision> verdicts =
        judged(
            0,
            60 * SECOND,
            () -> limits.bytesDrained(session, Side.CLIENT, turn[0]++ % 4 == 0 ? 1 : 0));
    assertThat(verdicts)
        .containsExactly(
            new DisconnectDecision(session, Side.CLIENT, Reason.RATE, false, 900 - 5, 4 * SECOND));
    assertThat(judged(5 * SECOND, 60 * SECOND, () -> {})).as("told once").isEmpty();
  }

  @Test
  void givesAPeerUpWhoseBytesGrowOldThoughItKeepsTheLeastRate() {
    limits.bytesQueued(session, Side.TARGET, 2_000, 0);
    List<DisconnectDecision> verdicts =
        judged(0, 60 * SECOND, () -> limits.bytesDrained(session, Side.TARGET, 30));
    assertThat(verdicts).extracting(DisconnectDecision::reason).containsExactly(Reason.AGE);
    assertThat(verdicts.get(0).ageMicros()).isBetween(10 * SECOND, 11 * SECOND);
  }

  @Test
  void givesUpWhoeverDoesNotEndItsLineButNotWhileTheOtherSideKeepsItFromBeingRead() {
    limits.lineStarted(session, Side.CLIENT, 0);
    limits.bytesQueued(session, Side.TARGET, 1_000, 0);
    assertThat(limits.isFull(session, Side.TARGET)).isTrue();
    assertThat(judged(0, 3 * SECOND, () -> {})).isEmpty();
    limits.bytesDrained(session, Side.TARGET, 1_000);
    assertThat(judged(3 * SECOND, 8 * SECOND, () -> {})).isEmpty();
    assertThat(judged(8 * SECOND + 1, 9 * SECOND, () -> {}))
        .containsExactly(new DisconnectDecision(session, Side.CLIENT, Reason.LINE, false, 0, 0));
    assertThat(limits.disconnects(Reason.LINE)).isEqualTo(1);
  }

  @Test
  void endsAPracticesWorstOffenderAtOnceAndNobodyElses() {
    SessionPeers young = limits.open(2, "acme");
    SessionPeers stranger = limits.open(3, "other");
    SessionPeers small = limits.open(4, "small");
    limits.bytesQueued(stranger, Side.CLIENT, 2_900, 0);
    limits.bytesQueued(session, Side.CLIENT, 1_000, SECOND);
    limits.bytesQueued(young, Side.TARGET, 2_100, 2 * SECOND);
    limits.bytesQueued(small, Side.CLIENT, 501, 2 * SECOND);
    assertThat(limits.isOverBudget(young)).isTrue();
    assertThat(limits.isOverBudget(stranger)).isFalse();
    assertThat(limits.evaluate(3 * SECOND))
        .containsExactly(
            new DisconnectDecision(young, Side.TARGET, Reason.PRACTICE_BUDGET, true, 2_100, SECOND),
            new DisconnectDecision(small, Side.CLIENT, Reason.PRACTICE_BUDGET, true, 501, SECOND));
    // Not closed yet, and not told twice either; nobody else pays for them.
    assertThat(limits.evaluate(3 * SECOND)).isEmpty();
  }

  @Test
  void takesThoseThatWereGivenUpBeforeAnyOther() {
    limits.bytesQueued(session, Side.CLIENT, 100, 0);
    assertThat(judged(0, 5 * SECOND, () -> {})).hasSize(1);
    SessionPeers large = limits.open(2, "acme");
    limits.bytesQueued(large, Side.CLIENT, 2_950, 5 * SECOND);
    assertThat(limits.evaluate(5 * SECOND))
        .containsExactly(
            new DisconnectDecision(
                session, Side.CLIENT, Reason.PRACTICE_BUDGET, true, 100, 5 * SECOND));
  }

  @Test
  void refusesWhatCannotBe() {
    assertThatThrownBy(() -> limits.bytesDrained(session, Side.CLIENT, 1))
        .hasMessage("1 bytes taken, 0 waited");
    limits.close(session);
    assertThatThrownBy(() -> limits.bytesQueued(session, Side.CLIENT, 1, 0))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
