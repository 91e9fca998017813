package ashspar.limits;

/** Probes that may be spent: each request that comes in pays for some. For one thread at a time. */
public final class ProbeBudget {
  /** What probes may cost, in points of the result. */
  private static final double SCORE_BUDGET = 0.012;

  /** What a request pays for where probes are free. */
  private static final double FREE_PROBES_PER_REQUEST = 6;

  private static final double MAX_CREDIT = 12;

  private double credit = 3;

  /** A request has come in; {@code price} is a probe's, in points. */
  public void earn(double price, boolean repeat) {
    double each = price > 0 ? SCORE_BUDGET / price : FREE_PROBES_PER_REQUEST;
    credit = Math.min(MAX_CREDIT, credit + (repeat ? each / 3 : each));
  }

  /** A probe is sent, whether there was credit for it or not. */
  public void spend() {
    credit--;
  }

  /** Whether there is credit for one more. */
  public boolean hasCredit() {
    return credit >= 1;
  }
}
