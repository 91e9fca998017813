package brassbank.route;

/**
 * How much room a site has for one class.
 *
 * @param places connections of the class that could be placed now
 * @param of connections of the class that the site could hold if it held nothing else
 * @param waiting how long a flow that comes now would wait for its place, in microseconds; 0 where
 *     nothing is known of it
 */
public record Room(int places, int of, long waiting) {
  /** Beyond it a figure is somebody's mistake: sums of such would overflow. */
  private static final long LONGEST_WAIT = 3_600_000_000L;

  public Room {
    if (places < 0 || of < places || waiting < 0 || waiting > LONGEST_WAIT) {
      throw new IllegalArgumentException(
          "no room: " + places + " places of " + of + ", waiting " + waiting);
    }
  }

  /** What is offered to others of it: a part stays free for the site's own next flows. */
  Room beyond(double kept) {
    return new Room((int) Math.max(0, places - Math.ceil(kept * of)), of, waiting);
  }

  /** The same with fewer places. */
  Room without(int taken) {
    return new Room(Math.max(0, places - taken), of, waiting);
  }
}
