package brassbank.route;

/**
 * Keeps a link that flaps out of use: each unplanned loss adds to a penalty that decays by half in
 * {@link #HALF_LIFE}; above {@link #SUPPRESS} the link is not used for new flows, until the penalty
 * has fallen below {@link #REUSE} (BGP route flap damping, RFC 2439, sections 4.2 and 4.4; its
 * proportions, with minutes turned to seconds). The penalty has a ceiling, so that a link is used
 * again at the latest {@link #LONGEST} after its last loss.
 *
 * <p>One per link of a pair, which outlives its connections. Times are microseconds. For one thread
 * at a time.
 */
final class Damping {
  static final double LOSS = 1;

  /** Two losses at once reach it, three within ten seconds pass it, one an hour never does. */
  static final double SUPPRESS = 2;

  static final double REUSE = 0.75;

  /** A link that flaps every 2 to 5 s comes to a penalty of 3.4 to 7.7: some 25 s of rest. */
  static final long HALF_LIFE = 10_000_000;

  static final long LONGEST = 60_000_000;

  /** RFC 2439, section 4.2: the penalty that decays to REUSE in LONGEST. */
  static final double CEILING = REUSE * Math.pow(2, (double) LONGEST / HALF_LIFE);

  private double penalty;
  private long at;
  private boolean suppressed;

  /** The link was lost, and nobody had announced it. */
  void lost(long now) {
    penalty = Math.min(CEILING, penalty(now) + LOSS);
    at = now;
    suppressed |= penalty > SUPPRESS;
  }

  double penalty(long now) {
    return penalty * Math.pow(0.5, (double) Math.max(0, now - at) / HALF_LIFE);
  }

  /** Whether new flows stay off the link. */
  boolean suppressed(long now) {
    suppressed = suppressed && penalty(now) >= REUSE;
    return suppressed;
  }
}
