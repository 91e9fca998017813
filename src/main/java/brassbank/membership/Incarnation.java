package brassbank.membership;

/**
 * How new what is told of a member is: the life of its process, and how often it has raised its
 * voice in it. Only the member itself makes new ones.
 *
 * @param birth tells one process of a name from the next; a later one has the greater, whatever the
 *     machine's clock says (see {@link Membership})
 * @param raised once for each refutation and each change of what the member does
 */
public record Incarnation(long birth, int raised) implements Comparable<Incarnation> {
  /** Neither part may come near its end, so that a member can always go beyond what it hears. */
  public static final long MOST_BIRTH = 1L << 60;

  public static final int MOST_RAISED = 1 << 30;

  public Incarnation {
    if (birth < 0 || birth > MOST_BIRTH || raised < 0 || raised > MOST_RAISED) {
      throw new IllegalArgumentException("no incarnation: " + birth + "." + raised);
    }
  }

  /** The next one of the same life. */
  Incarnation next() {
    return new Incarnation(birth, raised + 1);
  }

  @Override
  public int compareTo(Incarnation other) {
    return birth != other.birth
        ? Long.compare(birth, other.birth)
        : Integer.compare(raised, other.raised);
  }

  @Override
  public String toString() {
    return birth + "." + raised;
  }
}
