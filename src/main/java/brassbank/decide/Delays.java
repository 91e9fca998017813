package brassbank.decide;

import ashspar.Balancer;
import java.util.HashMap;
import java.util.Map;

/**
 * How long targets take to answer lines, as far as the module is to hear of it: when one is slow,
 * and when it is slow no longer. Times are microseconds but where a name says otherwise. For one
 * thread at a time.
 */
final class Delays {
  private static final double MILLI = 1_000;

  /** Least time between two notes to the module on one target's delay. */
  private static final long NOTE_PAUSE = 1_000_000;

  private static final class Delay {
    long notedAt = Long.MIN_VALUE / 2;
    boolean slow;
  }

  private final Map<String, Delay> delays = new HashMap<>();
  private double slowMillis;

  /** A third of the shortest aim that the settings state for a message is slow. */
  void configure(Balancer.Settings settings) {
    double shortest = Double.MAX_VALUE;
    for (Balancer.RequestClass type : settings.classes()) {
      if (type.messageDelayGoalMicros() > 0) {
        shortest = Math.min(shortest, type.messageDelayGoalMicros());
      }
    }
    slowMillis = shortest == Double.MAX_VALUE ? Double.MAX_VALUE : shortest / 3 / MILLI;
  }

  /** Whether the module is to hear that a line was answered after so long. */
  boolean tells(long now, String target, double millis) {
    Delay delay = delays.computeIfAbsent(target, name -> new Delay());
    boolean slow = millis > slowMillis;
    if (slow ? now - delay.notedAt >= NOTE_PAUSE : delay.slow) {
      delay.notedAt = now;
      delay.slow = slow;
      return true;
    }
    return false;
  }

  void forget(String target) {
    delays.remove(target);
  }
}
