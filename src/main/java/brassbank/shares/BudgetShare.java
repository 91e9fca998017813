package brassbank.shares;

/**
 * What one process may spend of each budget of the fleet; a value.
 *
 * @param part of the budget until then, above 0 and at most 1
 * @param base the part from then on
 * @param turn which of those with a seat it is, from 0 on; its rank where it has none
 * @param of how many have a seat, as it counts them; {@code balancers} where it has none
 * @param until when its seat ends if nothing is heard, in microseconds of the caller's clock;
 *     Long.MIN_VALUE where it has none
 */
public record BudgetShare(
    double fraction, double baseFraction, int index, int participants, long leaseEndMicros) {
  /** Whether it spends with a seat. */
  public boolean hasLease() {
    return leaseEndMicros != Long.MIN_VALUE;
  }
}
