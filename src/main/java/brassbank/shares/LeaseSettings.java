package brassbank.shares;

/**
 * The figures of the rule; docs/shares.md has the reason of each. Times are microseconds.
 *
 * @param base part of each budget that goes by the file's numbers, whoever is there; above 0, at
 *     most 1: a proxy without a seat must be able to place something
 * @param period a seat is asked for this often
 * @param counts an answer counts for so long from when it was asked for (V)
 * @param holds a keeper holds a seat for so long from the asking's arrival (H)
 * @param waits a seat is spent with once it was held for so long without a gap (W)
 * @param weighs it is spent with the least weight that it was asked for with in so long
 */
public record LeaseSettings(
    double baseShare,
    long renewalMicros,
    long validityMicros,
    long grantMicros,
    long activationMicros,
    long weightWindowMicros) {
  private static final long MILLI = 1_000;

  /** The base where the file says nothing: what it costs and brings stands in docs/shares.md. */
  public static final double DEFAULT_BASE_SHARE = 0.25;

  public LeaseSettings {
    if (!(baseShare > 0 && baseShare <= 1)) {
      throw new IllegalArgumentException("a base is above 0 and at most 1, not " + baseShare);
    }
    if (renewalMicros <= 0
        || validityMicros < renewalMicros
        || grantMicros <= 0
        || activationMicros < 0
        || weightWindowMicros < 0) {
      throw new IllegalArgumentException("times that cannot be");
    }
  }

  /** The usual times. */
  public static LeaseSettings withBaseShare(double base) {
    return new LeaseSettings(
        base, 300 * MILLI, 1_200 * MILLI, 2_600 * MILLI, 1_400 * MILLI, 3_000 * MILLI);
  }
}
