package ashspar.limits;

/**
 * The warm-up of servers, by the slowest configured course. Times are seconds.
 *
 * @param initialCapacity the share of its capacity that a server has at its start
 * @param lengthSeconds the time until it has its full capacity
 * @param overloadMultiple the multiple of its capacity at which a server fails
 * @param overloadWindowSeconds the time over which that multiple is measured
 */
public record WarmUp(
    double initialCapacity,
    double lengthSeconds,
    double overloadMultiple,
    double overloadWindowSeconds) {
  /**
   * The share of the overload budget that is used. Slots of two windows may be used within one, so
   * it must be below one half.
   */
  private static final double SAFETY = 0.45;

  /** Returns the share of its capacity that a server of this age is certain to have. */
  public double warmth(double age) {
    return age < lengthSeconds ? initialCapacity + (1 - initialCapacity) * age / lengthSeconds : 1;
  }

  /**
   * Returns the slots that all nodes together may use, given the connections that end per second on
   * a warm server.
   */
  public ColdShare.RampUp rampUp(double turnover) {
    return new ColdShare.RampUp(
        SAFETY * overloadMultiple * turnover, initialCapacity, lengthSeconds);
  }
}
