package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Every flow that a living proxy has taken gets one final answer, before its deadline and the
 * slack. A flow is not owed an answer any longer once its client has left or its proxy was killed.
 */
final class SingleTimelyAnswer extends Rule {
  private static final class PendingAnswer {
    final String proxy;
    final long deadline;
    long takenAt = -1;

    PendingAnswer(String proxy, long deadline) {
      this.proxy = proxy;
      this.deadline = deadline;
    }
  }

  private final Checks.RuleParameters figures;
  private final Map<String, PendingAnswer> pending = new LinkedHashMap<>();

  SingleTimelyAnswer(Checks.RuleParameters figures) {
    super("one final answer in time");
    this.figures = figures;
  }

  private long dueAt(String flow, PendingAnswer owes) {
    long from =
        Math.max(
            owes.takenAt,
            Math.max(groundTruth.clientCalmSince(flow), groundTruth.proxyCalmSince(owes.proxy)));
    return from + owes.deadline * MILLI + figures.answerSlack() + groundTruth.slack();
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      pending.put(sent.flow(), new PendingAnswer(sent.proxy(), sent.deadline()));
    } else if (event instanceof Event.FlowTaken taken) {
      PendingAnswer owes = pending.get(taken.flow());
      if (owes != null) {
        owes.takenAt = now;
      }
    } else if (event instanceof Event.FlowAnswered answered) {
      checkDeadline(now, answered.flow(), "was answered");
    } else if (event instanceof Event.ClientLeft left && left.waiting()) {
      checkDeadline(now, left.flow(), "had no answer");
    } else if (event instanceof Event.AnsweredAgain again) {
      reportBreach(now, again.flow() + " was answered and then got '" + again.line() + "'");
    } else if (event instanceof Event.ClientSawEnd end && !end.served()) {
      PendingAnswer owes = pending.remove(end.flow());
      if (owes != null
          && owes.takenAt >= 0
          && groundTruth.clientCalmSince(end.flow()) < owes.takenAt) {
        reportBreach(now, end.flow() + " was ended by " + owes.proxy + " without an answer");
      }
    } else if (event instanceof Event.ProxyKilled killed) {
      pending.values().removeIf(owes -> owes.proxy.equals(killed.proxy()));
    } else if (event instanceof Event.ProxyExited exited) {
      pending.forEach(
          (flow, owes) -> {
            if (owes.proxy.equals(exited.proxy())
                && owes.takenAt >= 0
                && groundTruth.clientCalmSince(flow) < owes.takenAt) {
              reportBreach(now, flow + " had no answer when " + exited.proxy() + " ended");
            }
          });
      pending.values().removeIf(owes -> owes.proxy.equals(exited.proxy()));
    }
  }

  private void checkDeadline(long now, String flow, String what) {
    PendingAnswer owes = pending.remove(flow);
    if (owes != null && owes.takenAt >= 0 && now > dueAt(flow, owes)) {
      reportBreach(now, flow + " " + what + " " + (now - dueAt(flow, owes)) / MILLI + " ms late");
    }
  }
}
