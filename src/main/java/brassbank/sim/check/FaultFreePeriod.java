package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * Tells whether the run is free of faults: no fault is active, the last fault and the last start or
 * stop of a proxy are at least {@code recoveryMicros} ago, and the fleet has formed.
 */
final class FaultFreePeriod {
  /** Proxies that start together know each other after this time. */
  private static final long FORMATION_MICROS = 6_000_000;

  private final long recoveryMicros;
  private final Map<String, Integer> activeFaults = new HashMap<>();
  private long startsAt = FORMATION_MICROS;

  FaultFreePeriod(long recovery) {
    this.recoveryMicros = recovery;
  }

  /**
   * Returns whether the event is the start or the end of a proxy's process, or the beginning of its
   * shutdown.
   */
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

  /** Returns whether the run is free of faults at {@code now}. */
  boolean isActive(long now) {
    return activeFaults.isEmpty() && now >= startsAt;
  }
}
