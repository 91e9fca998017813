package ashspar.limits;

/**
 * Estimates how long connections stay open: the total time that this node's connections were open,
 * divided by the number that ended by themselves. Connections that are still open contribute their
 * time so far. After the start of a node, {@link #DEFAULT_SECONDS} dominates.
 *
 * <p>Times are microseconds. Not thread-safe.
 */
public final class ConnectionLifetimes {
  /**
   * The assumed mean lifetime before any connection has ended; it was 20 to 45 s on the known
   * sites.
   */
  private static final double DEFAULT_SECONDS = 30;

  /** The number of connections that the default counts for. */
  private static final double PRIOR_CONNECTIONS = 5;

  private double openSeconds;
  private double endedCount;
  private long measuredAt = Long.MIN_VALUE;

  /** Counts {@code open} connections as open for the time since the last call. */
  public void measure(long now, int open) {
    openSeconds += measuredAt == Long.MIN_VALUE ? 0 : open * (now - measuredAt) / 1e6;
    measuredAt = now;
  }

  /**
   * Records that a connection has ended by itself; -1 revokes one that was closed by its server.
   */
  public void recordEnded(int connections) {
    endedCount += connections;
  }

  /** Returns the mean lifetime in seconds. */
  public double meanSeconds() {
    return (openSeconds + PRIOR_CONNECTIONS * DEFAULT_SECONDS)
        / (Math.max(0, endedCount) + PRIOR_CONNECTIONS);
  }

  /**
   * The mean lifetime at which the exponent of the inverse load is 1; it grows in proportion from
   * there.
   */
  private static final double LIFETIME_PER_EXPONENT_MICROS = 20_000_000.0;

  private static final double MAX_EXPONENT = 2.5;

  /** The arrival rate is measured over at least this time. */
  private static final double MIN_RATE_PERIOD_MICROS = 5_000_000.0;

  /**
   * Returns the exponent of the inverse load in a weight. It is larger for long-lived connections,
   * because a wrong weight has a lasting effect on them.
   *
   * @param periodMicros the period of the arrivals in microseconds
   */
  public static double inverseLoadExponent(double arrivals, long periodMicros, int open) {
    double rate = (arrivals + 1) / Math.max(MIN_RATE_PERIOD_MICROS, periodMicros);
    return Math.min(MAX_EXPONENT, Math.max(1, open / rate / LIFETIME_PER_EXPONENT_MICROS));
  }
}
