package brassbank.shares;

/**
 * The parameters of the lease protocol; docs/shares.md gives the reason for each.
 *
 * @param baseShare the fraction of each budget that is divided evenly by the number of ranks,
 *     whether or not a process holds a lease; above 0, because a proxy without a lease must be able
 *     to place something, and at most 1
 * @param renewalMicros the interval between two requests for the lease
 * @param validityMicros how long a grant is valid for the requester, from when it was requested (V)
 * @param grantMicros how long a grantor reserves a lease, from the arrival of the request (H)
 * @param activationMicros how long a lease must have been held without interruption before its
 *     share is spent (W)
 * @param weightWindowMicros the period whose lowest requested weight determines the share
 */
public record LeaseSettings(
    double baseShare,
    long renewalMicros,
    long validityMicros,
    long grantMicros,
    long activationMicros,
    long weightWindowMicros) {
  private static final long MILLI_MICROS = 1_000;

  /** The default base share; docs/shares.md compares alternatives. */
  public static final double DEFAULT_BASE_SHARE = 0.25;

  public LeaseSettings {
    if (!(baseShare > 0 && baseShare <= 1)) {
      throw new IllegalArgumentException("base share must be above 0 and at most 1: " + baseShare);
    }
    if (renewalMicros <= 0
        || validityMicros < renewalMicros
        || grantMicros <= 0
        || activationMicros < 0
        || weightWindowMicros < 0) {
      throw new IllegalArgumentException("inconsistent intervals");
    }
  }

  /** Returns the default intervals with the given base share. */
  public static LeaseSettings withBaseShare(double baseShare) {
    return new LeaseSettings(
        baseShare,
        300 * MILLI_MICROS,
        1_200 * MILLI_MICROS,
        2_600 * MILLI_MICROS,
        1_400 * MILLI_MICROS,
        3_000 * MILLI_MICROS);
  }
}
