package brassbank.shares;

/**
 * The share of each of the fleet's budgets that one process may spend; immutable.
 *
 * @param fraction the fraction of the budget until {@code leaseEndMicros}, above 0 and at most 1
 * @param baseFraction the fraction from then on
 * @param index the position of this process among the lease holders, from 0; its rank without a
 *     lease
 * @param participants the number of lease holders as this process counts them; the number of ranks
 *     without a lease
 * @param leaseEndMicros when the lease ends unless it is renewed, in microseconds of the caller's
 *     clock; {@code Long.MIN_VALUE} without a lease
 */
public record BudgetShare(
    double fraction, double baseFraction, int index, int participants, long leaseEndMicros) {
  /** Returns whether the share is that of a lease holder. */
  public boolean hasLease() {
    return leaseEndMicros != Long.MIN_VALUE;
  }
}
