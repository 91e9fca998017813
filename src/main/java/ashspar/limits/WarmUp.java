package ashspar.limits;

/**
 * How servers warm up, by the slowest way stated. Times are seconds.
 *
 * @param least the share of its capacity that a server has at its start
 * @param length how long until it has all of it
 * @param fall how many times its capacity it must be sent to fall
 * @param window within which
 */
public record WarmUp(double least, double length, double fall, double window) {
  /** Of the fall-over budget: places of two windows may be taken within one. */
  private static final double SAFETY = 0.45;

  /** The share of its capacity that a server of this age surely has. */
  public double warmth(double age) {
    return age < length ? least + (1 - least) * age / length : 1;
  }

  /**
   * What a server may be sent by all nodes meanwhile, of which so many connections end a second.
   */
  public ColdShare.Warming warming(double turnover) {
    return new ColdShare.Warming(SAFETY * fall * turnover, least, length);
  }
}
