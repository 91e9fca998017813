package brassbank.membership;

/**
 * How new what is told of a member is: the life of its process, and how often it has raised its
 * voice in it. Only the member itself makes new ones.
 *
 * @param birth tells one process of a name from the next; a later one has the greater, whatever the
 *     machine's clock says (see {@link Membership})
 * @param raised once for each refutation and each change of what the member does
 */
public record Incarnation(long startTime, int revision) implements Comparable<Incarnation> {
  /** Neither part may come near its end, so that a member can always go beyond what it hears. */
  public static final long MAX_START_TIME = 1L << 60;

  public static final int MAX_REVISION = 1 << 30;

  public Incarnation {
    if (startTime < 0 || startTime > MAX_START_TIME || revision < 0 || revision > MAX_REVISION) {
      throw new IllegalArgumentException("no incarnation: " + startTime + "." + revision);
    }
  }

  /** The next one of the same life. */
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
