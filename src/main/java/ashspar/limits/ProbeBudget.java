package ashspar.limits;

/** Limits the number of probes: each request earns credit for some. Not thread-safe. */
public final class ProbeBudget {
  /** The price of all probes per request, in points of the score. */
  private static final double SCORE_BUDGET = 0.012;

  /** The probes that a request earns if probes are free. */
  private static final double FREE_PROBES_PER_REQUEST = 6;

  private static final double MAX_CREDIT = 12;

  private double credit = 3;

  /** Earns credit for a request. {@code price} is the price of a probe in points of the score. */
  public void earn(double price, boolean retry) {
    double each = price > 0 ? SCORE_BUDGET / price : FREE_PROBES_PER_REQUEST;
    credit = Math.min(MAX_CREDIT, credit + (retry ? each / 3 : each));
  }

  /** Spends credit for a probe; the credit may become negative. */
  public void spend() {
    credit--;
  }

  /** Returns whether there is credit for another probe. */
  public boolean hasCredit() {
    return credit >= 1;
  }
}
