package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/** Whether no fault is on, and none was for so long; not before the fleet has met either. */
final class Calm {
  /** Proxies that start together know each other by then. */
  private static final long MET = 6_000_000;

  private final long recovery;
  private final Map<String, Integer> on = new HashMap<>();
  private long since = MET;

  Calm(long recovery) {
    this.recovery = recovery;
  }

  /** Whether a proxy comes or goes. */
  static boolean changesTheFleet(Event event) {
    return event instanceof Event.ProxyStarted
        || event instanceof Event.ProxyTerminated
        || event instanceof Event.ProxyKilled
        || event instanceof Event.ProxyExited;
  }

  void see(long now, Event event) {
    if (event instanceof Event.FaultBegan fault) {
      on.merge(fault.fault(), 1, Integer::sum);
    } else if (event instanceof Event.FaultEnded fault) {
      on.computeIfPresent(fault.fault(), (f, count) -> count > 1 ? count - 1 : null);
      since = Math.max(since, now + recovery);
    } else if (changesTheFleet(event) && now > 0) {
      since = Math.max(since, now + recovery);
    }
  }

  boolean is(long now) {
    return on.isEmpty() && now >= since;
  }
}
