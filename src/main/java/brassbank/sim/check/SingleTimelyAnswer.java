package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Every flow that a running proxy has received gets exactly one final answer, before its deadline
 * and the slack. The answer is no longer due once the client has left or the proxy was killed.
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

  private long dueAt(String flow, PendingAnswer answer) {
    long from =
        Math.max(
            answer.takenAt,
            Math.max(groundTruth.clientCalmSince(flow), groundTruth.proxyCalmSince(answer.proxy)));
    return from + answer.deadline * MILLI + figures.answerSlack() + groundTruth.slack();
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      pending.put(sent.flow(), new PendingAnswer(sent.proxy(), sent.deadline()));
    } else if (event instanceof Event.FlowTaken taken) {
      PendingAnswer answer = pending.get(taken.flow());
      if (answer != null) {
        answer.takenAt = now;
      }
    } else if (event instanceof Event.FlowAnswered answered) {
      checkDeadline(now, answered.flow(), "was answered");
    } else if (event instanceof Event.ClientLeft left && left.waiting()) {
      checkDeadline(now, left.flow(), "had no answer");
    } else if (event instanceof Event.AnsweredAgain again) {
      reportBreach(now, again.flow() + " was answered and then got '" + again.line() + "'");
    } else if (event instanceof Event.ClientSawEnd end && !end.served()) {
      PendingAnswer answer = pending.remove(end.flow());
      if (answer != null
          && answer.takenAt >= 0
          && groundTruth.clientCalmSince(end.flow()) < answer.takenAt) {
        reportBreach(now, end.flow() + " was ended by " + answer.proxy + " without an answer");
      }
    } else if (event instanceof Event.ProxyKilled killed) {
      pending.values().removeIf(answer -> answer.proxy.equals(killed.proxy()));
    } else if (event instanceof Event.ProxyExited exited) {
      pending.forEach(
          (flow, answer) -> {
            if (answer.proxy.equals(exited.proxy())
                && answer.takenAt >= 0
                && groundTruth.clientCalmSince(flow) < answer.takenAt) {
              reportBreach(now, flow + " had no answer when " + exited.proxy() + " ended");
            }
          });
      pending.values().removeIf(answer -> answer.proxy.equals(exited.proxy()));
    }
  }

  private void checkDeadline(long now, String flow, String what) {
    PendingAnswer answer = pending.remove(flow);
    if (answer != null && answer.takenAt >= 0 && now > dueAt(flow, answer)) {
      reportBreach(now, flow + " " + what + " " + (now - dueAt(flow, answer)) / MILLI + " ms late");
    }
  }
}
