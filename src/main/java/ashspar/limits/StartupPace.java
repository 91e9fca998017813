package ashspar.limits;

/**
 * The pace of a node that has just started. It knows nothing of load while the clients of the node
 * before it come back all at once: its first placements go out at a rate that grows with each
 * second, by the number of servers that there are, until after {@link #RAMP_MICROS} nothing is
 * held.
 *
 * <p>Times are microseconds. Calls cost constant time. For one thread at a time.
 */
public final class StartupPace {
  /** So long after its start a node knows its servers' load: two reports of each have come. */
  public static final long RAMP_MICROS = 3_000_000;

  /** Placements a second and server at the start, and what is added to that each second. */
  private static final double INITIAL_RATE = 4;

  private static final double RATE_GROWTH = 12;

  /** Placements a server that may go at once. */
  private static final double BURST_PER_SERVER = 2;

  private final long startedAt;
  private double tokens = Double.NaN;
  private long filledAt;

  public StartupPace(long startedAt) {
    this.startedAt = startedAt;
    this.filledAt = startedAt;
  }

  /** Whether one more placement may go now, with so many servers ready. */
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

  /** A placement has gone. */
  public void recordPlacement() {
    tokens = Double.isNaN(tokens) ? tokens : tokens - 1;
  }

  /** A connection placed has ended: what stands is what no report shows, and churn leaves none. */
  public void recordEnd() {
    tokens = Double.isNaN(tokens) ? tokens : tokens + 1;
  }
}
