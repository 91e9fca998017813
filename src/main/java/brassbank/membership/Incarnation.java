package brassbank.membership;

/**
 * Orders the updates about a member. Only the member itself creates new incarnations.
 *
 * @param startTime distinguishes successive processes of the same name. A later process has the
 *     greater value, even if the machine's clock was set back (see {@link Membership})
 * @param revision increases with each refutation and each change of the member's activity
 */
public record Incarnation(long startTime, int revision) implements Comparable<Incarnation> {
  /** Upper bound, far below overflow, so that a member can always exceed a value it receives. */
  public static final long MAX_START_TIME = 1L << 60;

  /** Upper bound, for the same reason as {@link #MAX_START_TIME}. */
  public static final int MAX_REVISION = 1 << 30;

  public Incarnation {
    if (startTime < 0 || startTime > MAX_START_TIME || revision < 0 || revision > MAX_REVISION) {
      throw new IllegalArgumentException(
          "incarnation out of bounds: " + startTime + "." + revision);
    }
  }

  /** Returns the next incarnation of the same process. */
  Incarnation next() {
    return new Incarnation(startTime, revision + 1);
  }

  @Override
  public int compareTo(Incarnation other) {
    return startTime != other.startTime
        ? Long.compare(startTime, other.startTime)
        : Integer.compare(revision, other.revision);
  }

  @Override
  public String toString() {
    return startTime + "." + revision;
  }
}
