package ashspar.limits;

/**
 * How long connections stand, from this node's own: time stood over connections that ended by
 * themselves, which counts those still open for the time they have stood. A node that has just
 * started goes by {@link #USUAL}.
 *
 * <p>Times are microseconds. For one thread at a time.
 */
public final class Lives {
  /** A mean life in seconds, until own connections tell; the sites met have 20 to 45. */
  private static final double USUAL = 30;

  /** Connections by which the usual life counts. */
  private static final double PRIOR = 5;

  private double stood;
  private double ended;
  private long countedAt = Long.MIN_VALUE;

  /** So many connections stand now, and have since the last call. */
  public void count(long now, int open) {
    stood += countedAt == Long.MIN_VALUE ? 0 : open * (now - countedAt) / 1e6;
    countedAt = now;
  }

  /** A connection has ended by itself; with -1 one that was counted had not. */
  public void ended(int connections) {
    ended += connections;
  }

  /** The mean life in seconds. */
  public double mean() {
    return (stood + PRIOR * USUAL) / (Math.max(0, ended) + PRIOR);
  }

  /** The inverse load counts by the power 1 for connections that live so long, and by more then. */
  private static final double POWER_LIFE = 20_000_000.0;

  private static final double POWER_MOST = 2.5;

  /** Arrivals of less than this tell no rate. */
  private static final double LEAST_TIME = 5_000_000.0;

  /**
   * The power of the inverse load in a weight: connections that live long show a wrong weight late.
   *
   * @param since microseconds in which the arrivals came
   */
  public static double power(double arrivals, long since, int open) {
    double rate = (arrivals + 1) / Math.max(LEAST_TIME, since);
    return Math.min(POWER_MOST, Math.max(1, open / rate / POWER_LIFE));
  }
}
