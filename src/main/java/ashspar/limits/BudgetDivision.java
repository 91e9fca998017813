package ashspar.limits;

/**
 * By what this node divides the fleet's budgets: by the settings' numbers, until it is told its
 * part; then by that, which ends by itself.
 *
 * <p>Times are microseconds. For one thread at a time.
 */
public final class BudgetDivision {
  private int rank;
  private int participants = 1;
  private boolean update;
  private double part;
  private double base;
  private int turn;
  private int of;
  private long until;
  private boolean lapsed = true; // the part that goes beyond the base

  /** The numbers of the settings, which hold until something is told. */
  public void configure(int ownRank, int nodeCount) {
    rank = ownRank;
    participants = nodeCount;
  }

  /**
   * This node's part is told.
   *
   * @param nextPart of each budget until then, {@code nextBase} from then on
   * @param nextTurn which of those that share it is, {@code nextOf} so many
   * @return whether it is another than before
   */
  public boolean update(
      long now, double nextPart, double nextBase, int nextTurn, int nextOf, long nextUntil) {
    double was = inverseShare(now);
    update = true;
    part = nextPart;
    base = nextBase;
    turn = nextTurn;
    of = nextOf;
    until = nextUntil;
    lapsed = now >= until;
    return inverseShare(now) != was;
  }

  /**
   * Tells once that the part has ended: when it was to end, and not when that is noticed, since a
   * process may have been stopped. Long.MAX_VALUE otherwise.
   */
  public long takeExpiry(long now) {
    if (lapsed || now < until) {
      return Long.MAX_VALUE;
    }
    lapsed = true;
    return until;
  }

  /** How many nodes share the fleet, as far as this one is told. */
  public int participants(long now) {
    return !update || now >= until ? participants : of;
  }

  /** The inverse of this node's part of the fleet's budgets. */
  public double inverseShare(long now) {
    return update ? 1 / (now < until ? part : base) : participants;
  }

  /** This node's places at a cold server of this number. */
  public ColdShare coldShare(long now, int number) {
    if (!update) {
      return new ColdShare(rank + number, participants);
    }
    double spacing = inverseShare(now);
    return new ColdShare(Math.floorMod(turn + number, of) * spacing / of, spacing);
  }
}
