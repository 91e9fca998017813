package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * A flow that may have run is not sent again, nor told that trying again is harmless, but where its
 * class allows that: in its window, or never. What a stream host has turned away has not run.
 */
final class NoEffectDoubled extends Rule {
  /** One flow of a class that may not simply be repeated. */
  private static final class Guarded {
    final Checks.Repeat repeat;

    /** When the first attempt arrived that may have run; below 0 while there is none. */
    long ranAt = -1;

    /** An attempt is with this host, and not answered yet. */
    String out;

    boolean toldHarmless;

    Guarded(Checks.Repeat repeat) {
      this.repeat = repeat;
    }

    boolean mayHaveRun() {
      return ranAt >= 0 || out != null;
    }
  }

  private final Map<String, Checks.Repeat> repeats;
  private final Map<String, String> kinds = new HashMap<>();
  private final Map<String, Guarded> flows = new HashMap<>();

  NoEffectDoubled(Checks.RuleParameters figures) {
    super("no effect doubled");
    this.repeats = figures.repeats();
  }

  @Override
  void onEvent(long now, Event event) {
    if (repeats.isEmpty()) {
      return;
    }
    if (event instanceof Event.ClientCame came) {
      kinds.put(came.client(), came.kind());
    } else if (event instanceof Event.FlowSent sent) {
      Checks.Repeat repeat = repeats.get(kinds.get(sent.client()));
      if (repeat != null) {
        flows.put(sent.flow(), new Guarded(repeat));
      }
    } else if (event instanceof Event.AttemptArrived arrived) {
      Guarded flow = flows.get(arrived.flow());
      if (flow != null) {
        arrived(now, flow, arrived);
      }
    } else if (event instanceof Event.AttemptAnswered answered) {
      Guarded flow = flows.get(answered.flow());
      if (flow != null && answered.host().equals(flow.out)) {
        settled(now, flow, answered.line().startsWith("BUSY"));
      }
    } else if (event instanceof Event.HostEnded ended) {
      settle(now, ended.flow(), ended.host());
    } else if (event instanceof Event.ProxyEnded ended) {
      settle(now, ended.flow(), ended.host());
    } else if (event instanceof Event.FlowAnswered answered && answered.line().startsWith("BUSY")) {
      Guarded flow = flows.get(answered.flow());
      if (flow != null && flow.repeat.never() && flow.mayHaveRun()) {
        reportBreach(now, answered.flow() + " may have run and is told '" + answered.line() + "'");
      } else if (flow != null) {
        flow.toldHarmless = true;
      }
    }
  }

  private void arrived(long now, Guarded flow, Event.AttemptArrived arrived) {
    if (flow.mayHaveRun() && flow.repeat.never()) {
      reportBreach(now, arrived.flow() + " may have run and is sent to " + arrived.host());
    } else if (flow.ranAt >= 0
        && arrived.firstByteAt() > flow.ranAt + flow.repeat.window() + truth.slack()) {
      long late = (arrived.firstByteAt() - flow.ranAt - flow.repeat.window()) / MILLI;
      reportBreach(
          now,
          arrived.flow() + " is sent to " + arrived.host() + " " + late + " ms past its window");
    } else if (flow.repeat.never() && flow.toldHarmless) {
      reportBreach(
          now, arrived.flow() + " comes to " + arrived.host() + " after its client was refused");
    }
    flow.out = arrived.host();
    if (arrived.givenUp()) {
      settled(now, flow, false);
    }
  }

  private void settle(long now, String id, String host) {
    Guarded flow = flows.get(id);
    if (flow != null && host.equals(flow.out)) {
      settled(now, flow, false);
    }
  }

  private void settled(long now, Guarded flow, boolean never) {
    flow.out = null;
    if (!never && flow.ranAt < 0) {
      flow.ranAt = now;
    }
  }
}
