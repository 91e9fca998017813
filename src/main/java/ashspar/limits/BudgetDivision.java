package ashspar.limits;

/**
 * Divides the budgets of the fleet between the nodes: evenly by rank and number of nodes from the
 * settings at first, and after the first {@link #update} by the share that the nodes have agreed
 * on, which expires by itself.
 *
 * <p>Times are microseconds. Not thread-safe.
 */
public final class BudgetDivision {
  private int rank;
  private int participants = 1;
  private boolean hasShare;
  private double fraction;
  private double baseFraction;
  private int index;
  private int sharers;
  private long fractionUntil;
  private boolean expired = true; // whether only the base fraction is left

  /** Sets the rank and number of nodes that apply until the first {@link #update}. */
  public void configure(int newRank, int nodeCount) {
    rank = newRank;
    participants = nodeCount;
  }

  /**
   * Sets this node's share.
   *
   * @param nextFraction the fraction of each budget until {@code nextUntil}
   * @param nextBaseFraction the fraction from then on
   * @param nextIndex the index of this node among the participants
   * @param nextSharers the number of participants
   * @return whether the share has changed
   */
  public boolean update(
      long now,
      double nextFraction,
      double nextBaseFraction,
      int nextIndex,
      int nextSharers,
      long nextUntil) {
    double previous = inverseShare(now);
    hasShare = true;
    fraction = nextFraction;
    baseFraction = nextBaseFraction;
    index = nextIndex;
    sharers = nextSharers;
    fractionUntil = nextUntil;
    expired = now >= fractionUntil;
    return inverseShare(now) != previous;
  }

  /**
   * Returns, once, the time at which the share expired, {@code Long.MAX_VALUE} if it has not. That
   * time may lie in the past, since a process may have been suspended.
   */
  public long takeExpiry(long now) {
    if (expired || now < fractionUntil) {
      return Long.MAX_VALUE;
    }
    expired = true;
    return fractionUntil;
  }

  /** Returns the number of nodes that share the budgets, as far as this node knows. */
  public int participants(long now) {
    return !hasShare || now >= fractionUntil ? participants : sharers;
  }

  /** Returns the inverse of this node's share of the budgets. */
  public double inverseShare(long now) {
    return hasShare ? 1 / (now < fractionUntil ? fraction : baseFraction) : participants;
  }

  /**
   * Returns this node's share of the slots of a cold server.
   *
   * @param number the ordering hash of the server
   */
  public ColdShare coldShare(long now, int number) {
    if (!hasShare) {
      return new ColdShare(rank + number, participants);
    }
    double spacing = inverseShare(now);
    return new ColdShare(Math.floorMod(index + number, sharers) * spacing / sharers, spacing);
  }
}
