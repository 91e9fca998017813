package ashspar.limits;

/**
 * This node's share of the requests that a cold server may be sent. The budget belongs to the whole
 * fleet and is divided into slots; each slot belongs to one node. The assignment follows from the
 * server's start time and id and from the ranks of the nodes, so that the nodes need not
 * communicate. A share of less than one slot per window becomes a slot every few windows. The
 * alternatives overloaded the server: with a minimum of one slot per node and window, fourteen
 * nodes whose clients reconnect at the same time exceed the budget together, and with a private
 * token bucket per node they do so as soon as all buckets are full.
 *
 * <p>The rate of slots grows linearly with the server's warmth from its start on. If nodes disagree
 * slightly about the rate, their slots are merely spaced less evenly.
 *
 * <p>Ages and times are seconds. All operations take constant time. Not thread-safe.
 */
public final class ColdShare {
  /** The last slot of this node before its share changed; negative if there is none. */
  private double earlierSlot = -1;

  private double firstSlot;
  private double spacing;
  private double lastSlotTaken = -1;
  private double owedCost;

  /**
   * Creates an equal share.
   *
   * @param turn this node's rank plus the server's ordering hash, so that different servers begin
   *     with different nodes
   * @param nodes the number of nodes, at least 1
   */
  public ColdShare(int turn, int nodes) {
    this((double) Math.floorMod(turn, Math.max(1, nodes)), Math.max(1, nodes));
  }

  /**
   * Creates a share from its first slot and the spacing of its slots.
   *
   * @param first the number of this node's first slot, at least 0
   * @param spacing the distance between its slots, which is the inverse of its share, at least 1
   */
  public ColdShare(double first, double spacing) {
    if (!(first >= 0 && spacing >= 1)) {
      throw new IllegalArgumentException(
          "a share needs a first slot of at least 0 and a spacing of at least 1, got "
              + first
              + ", "
              + spacing);
    }
    this.firstSlot = first;
    this.spacing = spacing;
  }

  /**
   * Changes this node's share. The progress towards its next slot is kept, and no more than that:
   * over any number of changes, the node receives its share of the slots plus at most one.
   *
   * @param age the age of the server when the share changed, which may be before now
   */
  public void changeSpacing(RampUp rampUp, double age, double nextSpacing) {
    double lastDue = lastSlotDue(rampUp, age);
    earlierSlot = lastOwnSlotDue(lastDue);
    double next = earlierSlot < firstSlot ? firstSlot : earlierSlot + spacing;
    firstSlot = lastDue + (next - lastDue) / spacing * nextSpacing;
    spacing = nextSpacing;
  }

  /**
   * Returns whether a slot of this node has come due recently and is still unused.
   *
   * @param age the age of the server
   * @param valid how long a slot stays valid
   */
  public boolean hasSlot(RampUp rampUp, double age, double valid) {
    double lastOwn = lastOwnSlotDue(lastSlotDue(rampUp, age));
    return lastOwn > lastSlotTaken && age - rampUp.ageWhenDue(lastOwn + 1.0) <= valid;
  }

  /** Uses the slot. A connection that costs more than the mean is paid for with future slots. */
  public void takeSlot(RampUp rampUp, double age, double cost) {
    lastSlotTaken = Math.max(lastSlotTaken, lastOwnSlotDue(lastSlotDue(rampUp, age)));
    owedCost += Math.max(0, cost - 1);
    while (owedCost >= 1) {
      owedCost--;
      lastSlotTaken += spacing;
    }
  }

  /** Returns the last slot that has come due, of any node. */
  private static double lastSlotDue(RampUp rampUp, double age) {
    return Math.floor(rampUp.slotsDue(age)) - 1;
  }

  /** Returns the last slot of this node that has come due; negative if there is none. */
  private double lastOwnSlotDue(double lastDue) {
    return lastDue < firstSlot
        ? earlierSlot
        : firstSlot + Math.floor((lastDue - firstSlot) / spacing) * spacing;
  }

  /**
   * The slots of a server that is warming up, for all nodes together.
   *
   * @param warmSlotsPerSecond the rate of slots once the server is warm
   * @param initialCapacity the share of its capacity that the server has at its start, above 0
   * @param lengthSeconds the time until the server is warm, above 0
   */
  public record RampUp(double warmSlotsPerSecond, double initialCapacity, double lengthSeconds) {
    /** Returns the number of slots that have come due at an age: the integral of the rate. */
    double slotsDue(double age) {
      return warmSlotsPerSecond
          * (initialCapacity * age + (1 - initialCapacity) * age * age / (2 * lengthSeconds));
    }

    /** Returns the age at which this many slots have come due. */
    double ageWhenDue(double slots) {
      double slope = (1 - initialCapacity) / lengthSeconds;
      double root =
          Math.sqrt(initialCapacity * initialCapacity + 2 * slope * slots / warmSlotsPerSecond);
      return slope > 0
          ? (root - initialCapacity) / slope
          : slots / warmSlotsPerSecond / initialCapacity;
    }
  }
}
