package ashspar.limits;

/**
 * This node's share of what a cold server may be sent. The limit is the fleet's, so that its places
 * are dealt out: each is one node's, by the server's start, its id and the nodes' ranks, which all
 * nodes know without a word. A share below one a window is carried as a place in turn: with a floor
 * of one each, fourteen nodes whose clients come back at the same moment would push the server over
 * together, and with a private bucket each they would as soon as all of them are full.
 *
 * <p>The rate of places grows evenly with the server's warmth, from its start on. Where nodes do
 * not quite agree on the rate, their places only lie less evenly.
 *
 * <p>Ages and times are seconds. Calls cost constant time. For one thread at a time.
 */
public final class ColdShare {
  /** A place of this node's from before its share changed, or below zero. */
  private double earlierSlot = -1;

  private double firstSlot;
  private double spacing;
  private double lastSlotTaken = -1;
  private double owedCost;

  /**
   * @param turn this node's rank, put on by a number that all nodes have for the server, so that
   *     servers begin with different nodes
   * @param nodes how many nodes there are, at least one
   */
  public ColdShare(int turn, int nodes) {
    this((double) Math.floorMod(turn, Math.max(1, nodes)), Math.max(1, nodes));
  }

  /**
   * @param first number of this node's first place, at least 0
   * @param spacing from one of its places to the next: the inverse of its share, at least 1
   */
  public ColdShare(double first, double spacing) {
    if (!(first >= 0 && spacing >= 1)) {
      throw new IllegalArgumentException("no share: " + first + ", " + spacing);
    }
    this.firstSlot = first;
    this.spacing = spacing;
  }

  /**
   * This node's share changes. What has been earned towards its next place is kept and no more:
   * over any number of changes it has its share of the places that come up, and one more.
   *
   * @param age the server's when the share changed, which may be before now
   */
  public void changeSpacing(RampUp warming, double age, double nextSpacing) {
    double up = lastSlotDue(warming, age);
    earlierSlot = lastOwnSlotDue(up);
    double next = earlierSlot < firstSlot ? firstSlot : earlierSlot + spacing;
    firstSlot = up + (next - up) / spacing * nextSpacing;
    spacing = nextSpacing;
  }

  /**
   * Whether a place that is this node's has come up lately and is not yet taken.
   *
   * @param age the server's
   * @param valid for how long a place holds
   */
  public boolean hasSlot(RampUp warming, double age, double valid) {
    double last = lastOwnSlotDue(lastSlotDue(warming, age));
    return last > lastSlotTaken && age - warming.ageWhenDue(last + 1.0) <= valid;
  }

  /** Takes the place; what a connection costs beyond a mean one is paid with places to come. */
  public void takeSlot(RampUp warming, double age, double cost) {
    lastSlotTaken = Math.max(lastSlotTaken, lastOwnSlotDue(lastSlotDue(warming, age)));
    owedCost += Math.max(0, cost - 1);
    while (owedCost >= 1) {
      owedCost--;
      lastSlotTaken += spacing;
    }
  }

  /** The last place that has come up, whoever's it is. */
  private static double lastSlotDue(RampUp warming, double age) {
    return Math.floor(warming.slotsDue(age)) - 1;
  }

  /** The last of this node's places that has come up; below zero where none has. */
  private double lastOwnSlotDue(double up) {
    return up < firstSlot
        ? earlierSlot
        : firstSlot + Math.floor((up - firstSlot) / spacing) * spacing;
  }

  /**
   * What a server that warms up may be sent by all nodes.
   *
   * @param warmSlotsPerSecond places a second once it is warm
   * @param initialCapacity share of its capacity at its start, above 0
   * @param lengthSeconds until it is warm, above 0
   */
  public record RampUp(double warmSlotsPerSecond, double initialCapacity, double lengthSeconds) {
    /** Places up to an age in seconds: the integral of the rate. */
    double slotsDue(double age) {
      return warmSlotsPerSecond
          * (initialCapacity * age + (1 - initialCapacity) * age * age / (2 * lengthSeconds));
    }

    /** The age by which so many places have come up. */
    double ageWhenDue(double places) {
      double slope = (1 - initialCapacity) / lengthSeconds;
      double root =
          Math.sqrt(initialCapacity * initialCapacity + 2 * slope * places / warmSlotsPerSecond);
      return slope > 0
          ? (root - initialCapacity) / slope
          : places / warmSlotsPerSecond / initialCapacity;
    }
  }
}
