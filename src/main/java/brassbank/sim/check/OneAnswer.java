package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Every flow that a living proxy has taken gets one final answer, before its deadline and the
 * slack. A flow is not owed an answer any longer once its client has left or its proxy was killed.
 */
final class OneAnswer extends Rule {
  private static final class Owed {
    final String proxy;
    final long deadline;
    long takenAt = -1;

    Owed(String proxy, long deadline) {
      this.proxy = proxy;
      this.deadline = deadline;
    }
  }

  private final Checks.RuleParameters figures;
  private final Map<String, Owed> owed = new LinkedHashMap<>();

  OneAnswer(Checks.RuleParameters figures) {
    super("one final answer in time");
    this.figures = figures;
  }

  private long due(String flow, Owed owes) {
    long from =
        Math.max(
            owes.takenAt, Math.max(truth.clientCalmSince(flow), truth.proxyCalmSince(owes.proxy)));
    return from + owes.deadline * MILLI + figures.answerSlack() + truth.slack();
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      owed.put(sent.flow(), new Owed(sent.proxy(), sent.deadline()));
    } else if (event instanceof Event.FlowTaken taken) {
      Owed owes = owed.get(taken.flow());
      if (owes != null) {
        owes.takenAt = now;
      }
    } else if (event instanceof Event.FlowAnswered answered) {
      judge(now, answered.flow(), "was answered");
    } else if (event instanceof Event.ClientLeft left && left.waiting()) {
      judge(now, left.flow(), "had no answer");
    } else if (event instanceof Event.AnsweredAgain again) {
      reportBreach(now, again.flow() + " was answered and then got '" + again.line() + "'");
    } else if (event instanceof Event.ClientSawEnd end && !end.served()) {
      Owed owes = owed.remove(end.flow());
      if (owes != null && owes.takenAt >= 0 && truth.clientCalmSince(end.flow()) < owes.takenAt) {
        reportBreach(now, end.flow() + " was ended by " + owes.proxy + " without an answer");
      }
    } else if (event instanceof Event.ProxyKilled killed) {
      owed.values().removeIf(owes -> owes.proxy.equals(killed.proxy()));
    } else if (event instanceof Event.ProxyExited exited) {
      owed.forEach(
          (flow, owes) -> {
            if (owes.proxy.equals(exited.proxy())
                && owes.takenAt >= 0
                && truth.clientCalmSince(flow) < owes.takenAt) {
              reportBreach(now, flow + " had no answer when " + exited.proxy() + " ended");
            }
          });
      owed.values().removeIf(owes -> owes.proxy.equals(exited.proxy()));
    }
  }

  private void judge(long now, String flow, String what) {
    Owed owes = owed.remove(flow);
    if (owes != null && owes.takenAt >= 0 && now > due(flow, owes)) {
      reportBreach(now, flow + " " + what + " " + (now - due(flow, owes)) / MILLI + " ms late");
    }
  }
}
