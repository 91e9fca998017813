package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * No flow causes more attempts at the stream hosts than are allowed, counted over all proxies and
 * all incarnations of their processes.
 */
final class AttemptLimit extends Rule {
  private final Checks.RuleParameters figures;
  private final Map<String, Integer> attempts = new HashMap<>();

  AttemptLimit(Checks.RuleParameters figures) {
    super("no more attempts of a flow than are allowed");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.AttemptArrived arrived) {
      int count = attempts.merge(arrived.flow(), 1, Integer::sum);
      if (count == figures.maxAttempts() + 1) {
        reportBreach(
            now,
            arrived.flow()
                + " comes to "
                + arrived.host()
                + " from "
                + arrived.proxy()
                + ", the "
                + count
                + "th attempt");
      }
    }
  }
}
