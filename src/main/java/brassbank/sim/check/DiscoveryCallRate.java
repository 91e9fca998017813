package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * No proxy calls discovery more than so many times a second, nor all of them together: it handles
 * calls one after another, four to six a second, and turns away who has waited.
 */
final class DiscoveryCallRate extends Rule {
  /** Seen of one proxy whose calls are refused at once: 7. */
  private static final int MAX_CALLS_PER_PROXY = 8;

  /** Seen at a start of 3 proxies: 12; of 56: 32. */
  private static final int MAX_TOTAL_CALLS_PER_PROXY = 4;

  private static final int MAX_TOTAL_CALLS_BASE = 8;

  private final Checks.RuleParameters figures;
  private final Map<String, SlidingWindowCounter> calls = new HashMap<>();
  private final SlidingWindowCounter allCalls = new SlidingWindowCounter();

  DiscoveryCallRate(Checks.RuleParameters figures) {
    super("calls a second at discovery");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.ListCalled call) {
      int own = calls.computeIfAbsent(call.proxy(), p -> new SlidingWindowCounter()).add(now);
      int together = allCalls.add(now);
      int most = MAX_TOTAL_CALLS_PER_PROXY * figures.proxies() + MAX_TOTAL_CALLS_BASE;
      if (own > MAX_CALLS_PER_PROXY) {
        reportBreach(now, call.proxy() + " has called discovery " + own + " times within a second");
      } else if (together > most) {
        reportBreach(
            now,
            "discovery was called "
                + together
                + " times within a second, last by "
                + call.proxy()
                + ", and "
                + most
                + " are allowed");
      }
    }
  }
}
