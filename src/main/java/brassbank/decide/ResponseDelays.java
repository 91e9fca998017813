package brassbank.decide;

import ashspar.Balancer;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which response delays of targets are reported to the module: those above a threshold, at
 * a limited rate, and the first one below it afterwards. Times are in microseconds unless the name
 * says otherwise. Not thread-safe.
 */
final class ResponseDelays {
  private static final double MICROS_PER_MILLI = 1_000;

  /** The minimum time between two reports of slow responses of the same target. */
  private static final long MIN_REPORT_INTERVAL_MICROS = 1_000_000;

  private static final class Delay {
    long reportedAtMicros = Long.MIN_VALUE / 2;
    boolean isSlow;
  }

  private final Map<String, Delay> delays = new HashMap<>();
  private double slowThresholdMillis;

  /**
   * Sets the threshold to a third of the shortest message delay goal of all classes. Without any
   * goal no response counts as slow.
   */
  void configure(Balancer.Settings settings) {
    double shortest = Double.MAX_VALUE;
    for (Balancer.RequestClass type : settings.classes()) {
      if (type.messageDelayGoalMicros() > 0) {
        shortest = Math.min(shortest, type.messageDelayGoalMicros());
      }
    }
    slowThresholdMillis =
        shortest == Double.MAX_VALUE ? Double.MAX_VALUE : shortest / 3 / MICROS_PER_MILLI;
  }

  /**
   * Records a response delay and returns whether to report it to the module.
   *
   * @param millis the time from the relayed request to the response
   */
  boolean shouldReport(long nowMicros, String target, double millis) {
    Delay delay = delays.computeIfAbsent(target, name -> new Delay());
    boolean isSlow = millis > slowThresholdMillis;
    if (isSlow ? nowMicros - delay.reportedAtMicros >= MIN_REPORT_INTERVAL_MICROS : delay.isSlow) {
      delay.reportedAtMicros = nowMicros;
      delay.isSlow = isSlow;
      return true;
    }
    return false;
  }

  void forget(String target) {
    delays.remove(target);
  }
}
