package brassbank.relay.limits;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import brassbank.relay.limits.DisconnectDecision.Reason;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class PeerLimitsTest {
  private static final long SECOND = 1_000_000;

  /** At most 10 s in the queue, 100 bytes per second over 4 s, and 5 s for a line. */
  private static final SideLimits SIDE =
      new SideLimits(1_000, 0, 10 * SECOND, 100, 4 * SECOND, 5 * SECOND);

  private final PeerLimits limits =
      new PeerLimits(
          new RelayLimits(1_000, 10_000, 3_000, Map.of("small", 500L), SIDE, SIDE, SECOND));

  private final SessionPeers session = limits.open(1, "acme");

  /** Evaluates every 0.25 s of a time span and returns the first decisions, or none. */
  private List<DisconnectDecision> evaluate(long from, long to, Runnable before) {
    for (long now = from; now <= to; now += SECOND / 4) {
      before.run();
      List<DisconnectDecision> decisions = limits.evaluate(now);
      if (!decisions.isEmpty()) {
        return decisions;
      }
    }
    return List.of();
  }

  @Test
  void keepsAPeerThatPausesForThreeSecondsAndReadsOn() {
    limits.bytesQueued(session, Side.CLIENT, 900, 0);
    assertThat(evaluate(0, 3 * SECOND, () -> {})).isEmpty();
    limits.bytesDrained(session, Side.CLIENT, 600);
    assertThat(evaluate(3 * SECOND, 5 * SECOND, () -> {})).isEmpty();
    limits.bytesDrained(session, Side.CLIENT, 300);
    assertThat(evaluate(5 * SECOND, 60 * SECOND, () -> {})).isEmpty();
    assertThat(limits.evaluationDelayMicros()).isEqualTo(-1);
  }

  @Test
  void disconnectsAPeerThatReadsOneByteASecondAfterTheWindow() {
    limits.bytesQueued(session, Side.CLIENT, 900, 0);
    int[] evaluations = {0};
    List<DisconnectDecision> decisions =
        evaluate(
            0,
            60 * SECOND,
            () -> limits.bytesDrained(session, Side.CLIENT, evaluations[0]++ % 4 == 0 ? 1 : 0));
    assertThat(decisions)
        .containsExactly(
            new DisconnectDecision(session, Side.CLIENT, Reason.RATE, false, 900 - 5, 4 * SECOND));
    assertThat(evaluate(5 * SECOND, 60 * SECOND, () -> {})).as("decided once").isEmpty();
  }

  @Test
  void disconnectsAPeerAtMinimumRateWhoseBytesExceedTheMaximumAge() {
    limits.bytesQueued(session, Side.TARGET, 2_000, 0);
    List<DisconnectDecision> decisions =
        evaluate(0, 60 * SECOND, () -> limits.bytesDrained(session, Side.TARGET, 30));
    assertThat(decisions).extracting(DisconnectDecision::reason).containsExactly(Reason.AGE);
    assertThat(decisions.get(0).ageMicros()).isBetween(10 * SECOND, 11 * SECOND);
  }

  @Test
  void disconnectsAPeerWithAnUnfinishedLineUnlessItIsNotReadBecauseTheOtherSideIsFull() {
    limits.lineStarted(session, Side.CLIENT, 0);
    limits.bytesQueued(session, Side.TARGET, 1_000, 0);
    assertThat(limits.isFull(session, Side.TARGET)).isTrue();
    assertThat(evaluate(0, 3 * SECOND, () -> {})).isEmpty();
    limits.bytesDrained(session, Side.TARGET, 1_000);
    assertThat(evaluate(3 * SECOND, 8 * SECOND, () -> {})).isEmpty();
    assertThat(evaluate(8 * SECOND + 1, 9 * SECOND, () -> {}))
        .containsExactly(new DisconnectDecision(session, Side.CLIENT, Reason.LINE, false, 0, 0));
    assertThat(limits.disconnects(Reason.LINE)).isEqualTo(1);
  }

  @Test
  void disconnectsTheMostSeverePeerOfAPracticeOverBudgetAndNoOther() {
    SessionPeers young = limits.open(2, "acme");
    SessionPeers otherPractice = limits.open(3, "other");
    SessionPeers small = limits.open(4, "small");
    limits.bytesQueued(otherPractice, Side.CLIENT, 2_900, 0);
    limits.bytesQueued(session, Side.CLIENT, 1_000, SECOND);
    limits.bytesQueued(young, Side.TARGET, 2_100, 2 * SECOND);
    limits.bytesQueued(small, Side.CLIENT, 501, 2 * SECOND);
    assertThat(limits.isOverBudget(young)).isTrue();
    assertThat(limits.isOverBudget(otherPractice)).isFalse();
    assertThat(limits.evaluate(3 * SECOND))
        .containsExactly(
            new DisconnectDecision(young, Side.TARGET, Reason.PRACTICE_BUDGET, true, 2_100, SECOND),
            new DisconnectDecision(small, Side.CLIENT, Reason.PRACTICE_BUDGET, true, 501, SECOND));
    // The sessions are not closed yet: they are neither decided twice nor replaced by others.
    assertThat(limits.evaluate(3 * SECOND)).isEmpty();
  }

  @Test
  void disconnectsSessionsWithAGracefulDecisionBeforeOthers() {
    limits.bytesQueued(session, Side.CLIENT, 100, 0);
    assertThat(evaluate(0, 5 * SECOND, () -> {})).hasSize(1);
    SessionPeers large = limits.open(2, "acme");
    limits.bytesQueued(large, Side.CLIENT, 2_950, 5 * SECOND);
    assertThat(limits.evaluate(5 * SECOND))
        .containsExactly(
            new DisconnectDecision(
                session, Side.CLIENT, Reason.PRACTICE_BUDGET, true, 100, 5 * SECOND));
  }

  @Test
  void rejectsImpossibleReports() {
    assertThatThrownBy(() -> limits.bytesDrained(session, Side.CLIENT, 1))
        .hasMessage("1 bytes drained, but only 0 were queued");
    limits.close(session);
    assertThatThrownBy(() -> limits.bytesQueued(session, Side.CLIENT, 1, 0))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
