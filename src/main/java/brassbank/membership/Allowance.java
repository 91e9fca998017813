package brassbank.membership;

/** So much in each second, and no more than one second's saved up (a token bucket). */
final class Allowance {
  private final long perSecond;
  private double left;
  private long at;

  Allowance(long perSecond, long now) {
    this.perSecond = perSecond;
    left = perSecond;
    at = now;
  }

  /** Whether so much may be spent now; it is then. */
  boolean spend(long amount, long now) {
    left = Math.min(perSecond, left + (now - at) * (double) perSecond / 1_000_000);
    at = now;
    if (left < amount) {
      return false;
    }
    left -= amount;
    return true;
  }
}
