package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * A flow that may have run is neither sent again nor answered that a repeat is harmless, unless its
 * class allows that: within its window, or not at all. A flow that a stream host has rejected has
 * not run.
 */
final class NoDuplicateEffect extends Rule {
  /** A flow of a class that may not be repeated at any time. */
  private static final class GuardedFlow {
    final Checks.Repeat repeat;

    /** When the first attempt that may have run arrived; below 0 while there is none. */
    long mayHaveRunAt = -1;

    /** The host that has an unanswered attempt of the flow, or null. */
    String pendingHost;

    /** The client was answered {@code BUSY}, after which it may repeat the flow. */
    boolean wasRefused;

    GuardedFlow(Checks.Repeat repeat) {
      this.repeat = repeat;
    }

    boolean mayHaveRun() {
      return mayHaveRunAt >= 0 || pendingHost != null;
    }
  }

  private final Map<String, Checks.Repeat> repeats;
  private final Map<String, String> classOfClient = new HashMap<>();
  private final Map<String, GuardedFlow> flows = new HashMap<>();

  NoDuplicateEffect(Checks.RuleParameters figures) {
    super("no effect doubled");
    this.repeats = figures.repeats();
  }

  @Override
  void onEvent(long now, Event event) {
    if (repeats.isEmpty()) {
      return;
    }
    if (event instanceof Event.ClientCame came) {
      classOfClient.put(came.client(), came.kind());
    } else if (event instanceof Event.FlowSent sent) {
      Checks.Repeat repeat = repeats.get(classOfClient.get(sent.client()));
      if (repeat != null) {
        flows.put(sent.flow(), new GuardedFlow(repeat));
      }
    } else if (event instanceof Event.AttemptArrived arrived) {
      GuardedFlow flow = flows.get(arrived.flow());
      if (flow != null) {
        attemptArrived(now, flow, arrived);
      }
    } else if (event instanceof Event.AttemptAnswered answered) {
      GuardedFlow flow = flows.get(answered.flow());
      if (flow != null && answered.host().equals(flow.pendingHost)) {
        settleAttempt(now, flow, answered.line().startsWith("BUSY"));
      }
    } else if (event instanceof Event.HostEnded ended) {
      attemptEnded(now, ended.flow(), ended.host());
    } else if (event instanceof Event.ProxyEnded ended) {
      attemptEnded(now, ended.flow(), ended.host());
    } else if (event instanceof Event.FlowAnswered answered && answered.line().startsWith("BUSY")) {
      GuardedFlow flow = flows.get(answered.flow());
      if (flow != null && flow.repeat.never() && flow.mayHaveRun()) {
        reportBreach(
            now, answered.flow() + " may have run and is answered '" + answered.line() + "'");
      } else if (flow != null) {
        flow.wasRefused = true;
      }
    }
  }

  private void attemptArrived(long now, GuardedFlow flow, Event.AttemptArrived arrived) {
    if (flow.mayHaveRun() && flow.repeat.never()) {
      reportBreach(now, arrived.flow() + " may have run and is sent to " + arrived.host());
    } else if (flow.mayHaveRunAt >= 0
        && arrived.firstByteAt() > flow.mayHaveRunAt + flow.repeat.window() + groundTruth.slack()) {
      long late = (arrived.firstByteAt() - flow.mayHaveRunAt - flow.repeat.window()) / MILLI;
      reportBreach(
          now,
          arrived.flow() + " is sent to " + arrived.host() + " " + late + " ms past its window");
    } else if (flow.repeat.never() && flow.wasRefused) {
      reportBreach(
          now, arrived.flow() + " comes to " + arrived.host() + " after its client was refused");
    }
    flow.pendingHost = arrived.host();
    if (arrived.givenUp()) {
      settleAttempt(now, flow, false);
    }
  }

  private void attemptEnded(long now, String id, String host) {
    GuardedFlow flow = flows.get(id);
    if (flow != null && host.equals(flow.pendingHost)) {
      settleAttempt(now, flow, false);
    }
  }

  private void settleAttempt(long now, GuardedFlow flow, boolean hasNotRun) {
    flow.pendingHost = null;
    if (!hasNotRun && flow.mayHaveRunAt < 0) {
      flow.mayHaveRunAt = now;
    }
  }
}
