package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/** Whether no fault is on, and none was for so long; not before the fleet has met either. */
final class FaultFreePeriod {
  /** Proxies that start together know each other by then. */
  private static final long FORMATION_MICROS = 6_000_000;

  private final long recoveryMicros;
  private final Map<String, Integer> activeFaults = new HashMap<>();
  private long startsAt = FORMATION_MICROS;

  FaultFreePeriod(long recovery) {
    this.recoveryMicros = recovery;
  }

  /** Whether a proxy comes or goes. */
  static boolean isFleetChange(Event event) {
    return event instanceof Event.ProxyStarted
        || event instanceof Event.ProxyTerminated
        || event instanceof Event.ProxyKilled
        || event instanceof Event.ProxyExited;
  }

  void onEvent(long now, Event event) {
    if (event instanceof Event.FaultBegan fault) {
      activeFaults.merge(fault.fault(), 1, Integer::sum);
    } else if (event instanceof Event.FaultEnded fault) {
      activeFaults.computeIfPresent(fault.fault(), (f, count) -> count > 1 ? count - 1 : null);
      startsAt = Math.max(startsAt, now + recoveryMicros);
    } else if (isFleetChange(event) && now > 0) {
      startsAt = Math.max(startsAt, now + recoveryMicros);
    }
  }

  boolean isActive(long now) {
    return activeFaults.isEmpty() && now >= startsAt;
  }
}
