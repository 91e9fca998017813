package brassbank.shares;

/**
 * Estimates the rate at which clients connect to this process, and the weight that follows from it
 * compared to the mean of the fleet. Times are microseconds. Not thread-safe.
 */
final class Demand {
  /** Time constant of the exponentially weighted rate. */
  private static final double TIME_CONSTANT_MICROS = 5_000_000;

  /** A process that started more recently has no usable estimate yet. */
  private static final long MIN_UPTIME_MICROS = 10_000_000;

  /** The period to which reported rates refer: ten seconds. */
  private static final double RATE_PERIOD_MICROS = 10_000_000;

  /**
   * Added to the count and the mean, so that small differences between small numbers do not matter.
   */
  private static final double PRIOR_CLIENTS = 10;

  /** Up to this multiple of the mean, and down to its inverse, a process has the default weight. */
  private static final double MAX_EQUAL_RATIO = 2;

  private final long startedAtMicros;
  private long updatedAtMicros;
  private long clientCount = -1; // before the first update
  private double clientsPerMicro;

  Demand(long now) {
    startedAtMicros = now;
    updatedAtMicros = now;
  }

  /**
   * Updates the rate.
   *
   * @param now the current time
   * @param total clients accepted since the process started
   */
  void update(long now, long total) {
    long elapsed = now - updatedAtMicros;
    if (clientCount < 0) {
      clientCount = total;
    }
    if (elapsed > 0) {
      double decay = Math.exp(-elapsed / TIME_CONSTANT_MICROS);
      clientsPerMicro =
          decay * clientsPerMicro + (1 - decay) * (total - clientCount) / (double) elapsed;
      clientCount = total;
      updatedAtMicros = now;
    }
  }

  /** Returns the clients per ten seconds, at most {@link LeaseMessage#MAX_DEMAND}. */
  int clientsPerTenSeconds() {
    return (int)
        Math.min(LeaseMessage.MAX_DEMAND, Math.round(clientsPerMicro * RATE_PERIOD_MICROS));
  }

  /**
   * Returns the weight to request.
   *
   * @param mean the mean number of clients per ten seconds of the lease holders; NaN if unknown
   */
  int weight(long now, double mean) {
    if (Double.isNaN(mean) || now - startedAtMicros < MIN_UPTIME_MICROS) {
      return LeaseMessage.DEFAULT_WEIGHT;
    }
    double ratio = (clientsPerTenSeconds() + PRIOR_CLIENTS) / (mean + PRIOR_CLIENTS);
    if (ratio < MAX_EQUAL_RATIO && ratio > 1 / MAX_EQUAL_RATIO) {
      return LeaseMessage.DEFAULT_WEIGHT;
    }
    long weight = Math.round(LeaseMessage.DEFAULT_WEIGHT * ratio);
    return (int) Math.min(LeaseMessage.MAX_WEIGHT, Math.max(1, weight));
  }
}
