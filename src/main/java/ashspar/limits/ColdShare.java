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
  private double before = -1;

  private double first;
  private double spacing;
  private double taken = -1;
  private double owed;

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
    this.first = first;
    this.spacing = spacing;
  }

  /**
   * This node's share changes. What has been earned towards its next place is kept and no more:
   * over any number of changes it has its share of the places that come up, and one more.
   *
   * @param age the server's when the share changed, which may be before now
   */
  public void deal(Warming warming, double age, double nextSpacing) {
    double up = up(warming, age);
    before = last(up);
    double next = before < first ? first : before + spacing;
    first = up + (next - up) / spacing * nextSpacing;
    spacing = nextSpacing;
  }

  /**
   * Whether a place that is this node's has come up lately and is not yet taken.
   *
   * @param age the server's
   * @param valid for how long a place holds
   */
  public boolean free(Warming warming, double age, double valid) {
    double last = last(up(warming, age));
    return last > taken && age - warming.reached(last + 1.0) <= valid;
  }

  /** Takes the place; what a connection costs beyond a mean one is paid with places to come. */
  public void take(Warming warming, double age, double cost) {
    taken = Math.max(taken, last(up(warming, age)));
    owed += Math.max(0, cost - 1);
    while (owed >= 1) {
      owed--;
      taken += spacing;
    }
  }

  /** The last place that has come up, whoever's it is. */
  private static double up(Warming warming, double age) {
    return Math.floor(warming.places(age)) - 1;
  }

  /** The last of this node's places that has come up; below zero where none has. */
  private double last(double up) {
    return up < first ? before : first + Math.floor((up - first) / spacing) * spacing;
  }

  /**
   * What a server that warms up may be sent by all nodes.
   *
   * @param rate places a second once it is warm
   * @param least share of its capacity at its start, above 0
   * @param seconds until it is warm, above 0
   */
  public record Warming(double rate, double least, double seconds) {
    /** Places up to an age in seconds: the integral of the rate. */
    double places(double age) {
      return rate * (least * age + (1 - least) * age * age / (2 * seconds));
    }

    /** The age by which so many places have come up. */
    double reached(double places) {
      double slope = (1 - least) / seconds;
      double root = Math.sqrt(least * least + 2 * slope * places / rate);
      return slope > 0 ? (root - least) / slope : places / rate / least;
    }
  }
}
