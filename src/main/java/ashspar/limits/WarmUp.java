package ashspar.limits;

/**
 * How servers warm up, by the slowest way stated. Times are seconds.
 *
 * @param initialCapacity the share of its capacity that a server has at its start
 * @param lengthSeconds how long until it has all of it
 * @param overloadMultiple how many times its capacity it must be sent to fall
 * @param overloadWindowSeconds within which
 */
public record WarmUp(
    double initialCapacity,
    double lengthSeconds,
    double overloadMultiple,
    double overloadWindowSeconds) {
  /** Of the fall-over budget: places of two windows may be taken within one. */
  private static final double SAFETY = 0.45;

  /** The share of its capacity that a server of this age surely has. */
  public double warmth(double age) {
    return age < lengthSeconds ? initialCapacity + (1 - initialCapacity) * age / lengthSeconds : 1;
  }

  /**
   * What a server may be sent by all nodes meanwhile, of which so many connections end a second.
   */
  public ColdShare.RampUp rampUp(double turnover) {
    return new ColdShare.RampUp(
        SAFETY * overloadMultiple * turnover, initialCapacity, lengthSeconds);
  }
}
