package ashspar.limits;

/**
 * How long connections stand, from this node's own: time stood over connections that ended by
 * themselves, which counts those still open for the time they have stood. A node that has just
 * started goes by {@link #DEFAULT_SECONDS}.
 *
 * <p>Times are microseconds. For one thread at a time.
 */
public final class ConnectionLifetimes {
  /** A mean life in seconds, until own connections tell; the sites met have 20 to 45. */
  private static final double DEFAULT_SECONDS = 30;

  /** Connections by which the usual life counts. */
  private static final double PRIOR_CONNECTIONS = 5;

  private double openSeconds;
  private double recordEnded;
  private long measuredAt = Long.MIN_VALUE;

  /** So many connections stand now, and have since the last call. */
  public void measure(long now, int open) {
    openSeconds += measuredAt == Long.MIN_VALUE ? 0 : open * (now - measuredAt) / 1e6;
    measuredAt = now;
  }

  /** A connection has ended by itself; with -1 one that was counted had not. */
  public void recordEnded(int connections) {
    recordEnded += connections;
  }

  /** The mean life in seconds. */
  public double meanSeconds() {
    return (openSeconds + PRIOR_CONNECTIONS * DEFAULT_SECONDS)
        / (Math.max(0, recordEnded) + PRIOR_CONNECTIONS);
  }

  /** The inverse load counts by the power 1 for connections that live so long, and by more then. */
  private static final double LIFETIME_PER_EXPONENT_MICROS = 20_000_000.0;

  private static final double MAX_EXPONENT = 2.5;

  /** Arrivals of less than this tell no rate. */
  private static final double MIN_RATE_PERIOD_MICROS = 5_000_000.0;

  /**
   * The power of the inverse load in a weight: connections that live long show a wrong weight late.
   *
   * @param since microseconds in which the arrivals came
   */
  public static double inverseLoadExponent(double arrivals, long since, int open) {
    double rate = (arrivals + 1) / Math.max(MIN_RATE_PERIOD_MICROS, since);
    return Math.min(MAX_EXPONENT, Math.max(1, open / rate / LIFETIME_PER_EXPONENT_MICROS));
  }
}
