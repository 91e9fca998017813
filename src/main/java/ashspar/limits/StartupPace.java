package ashspar.limits;

/**
 * Limits the rate of placements of a node that has just started. The node does not know the load of
 * the servers yet, while the clients of its predecessor reconnect all at once. The rate is
 * proportional to the number of servers and grows every second; after {@link #RAMP_MICROS} it is
 * unlimited.
 *
 * <p>Times are microseconds. All operations take constant time. Not thread-safe.
 */
public final class StartupPace {
  /** The time after which a node knows the load of its servers, from two reports of each. */
  public static final long RAMP_MICROS = 3_000_000;

  /** The initial rate in placements per second and server, and its growth per second. */
  private static final double INITIAL_RATE = 4;

  private static final double RATE_GROWTH = 12;

  /** The burst of placements allowed per server. */
  private static final double BURST_PER_SERVER = 2;

  private final long startedAt;
  private double tokens = Double.NaN;
  private long filledAt;

  /** Creates the pace of a node that starts at this time. */
  public StartupPace(long startedAt) {
    this.startedAt = startedAt;
    this.filledAt = startedAt;
  }

  /** Returns whether another placement may be made now, given the number of ready servers. */
  public boolean mayPlace(long now, int servers) {
    if (now - startedAt >= RAMP_MICROS) {
      return true;
    }
    double burst = Math.max(1, BURST_PER_SERVER * servers);
    double age = (now - startedAt) / 1e6;
    double rate = servers * (INITIAL_RATE + RATE_GROWTH * age);
    tokens = Double.isNaN(tokens) ? burst : Math.min(burst, tokens + (now - filledAt) / 1e6 * rate);
    filledAt = now;
    return tokens >= 1;
  }

  /** Records a placement. */
  public void recordPlacement() {
    tokens = Double.isNaN(tokens) ? tokens : tokens - 1;
  }

  /**
   * Records that a placed connection has ended. Only open connections are invisible to load
   * reports, so churn must not use up the rate.
   */
  public void recordEnd() {
    tokens = Double.isNaN(tokens) ? tokens : tokens + 1;
  }
}
