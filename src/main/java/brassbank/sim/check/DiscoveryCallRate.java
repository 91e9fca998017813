package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the calls per second that discovery receives, from each proxy and from all together.
 * Discovery handles four to six calls a second, one after another, and rejects calls that have
 * waited too long.
 */
final class DiscoveryCallRate extends Rule {
  /** A proxy whose calls are rejected at once reached 7. */
  private static final int MAX_CALLS_PER_PROXY = 8;

  /** A simultaneous start of 3 proxies reached 12, of 56 proxies 32. */
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
      int ofProxy = calls.computeIfAbsent(call.proxy(), p -> new SlidingWindowCounter()).add(now);
      int total = allCalls.add(now);
      int maxTotal = MAX_TOTAL_CALLS_PER_PROXY * figures.proxies() + MAX_TOTAL_CALLS_BASE;
      if (ofProxy > MAX_CALLS_PER_PROXY) {
        reportBreach(
            now, call.proxy() + " has called discovery " + ofProxy + " times within a second");
      } else if (total > maxTotal) {
        reportBreach(
            now,
            "discovery was called "
                + total
                + " times within a second, last by "
                + call.proxy()
                + ", and "
                + maxTotal
                + " are allowed");
      }
    }
  }
}
