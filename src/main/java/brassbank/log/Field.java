package brassbank.log;

/**
 * A named value of an event.
 *
 * @param name lower case letters and underscores; none of the names that every line has ({@code
 *     time}, {@code level}, {@code component}, {@code event}, {@code cause})
 * @param value in JSON, numbers and booleans keep their type and everything else becomes a string;
 *     it may contain any text sent by a peer
 */
public record Field(String name, Object value) {
  /** Returns a field with the number of a flow, by which the lines of a flow can be correlated. */
  public static Field flow(long id) {
    return new Field("flow", id);
  }

  /** Returns a field with the name of a target, as reported by discovery. */
  public static Field target(String name) {
    return new Field("target", name);
  }

  /** Returns a field with any other value. */
  public static Field value(String name, Object value) {
    return new Field(name, value);
  }
}
