package brassbank.gateway.link.frame;

/**
 * How much room a site has for a class of flows.
 *
 * @param stamp when the frame was made, in microseconds since its side made its {@link Hello}
 * @param ageMillis how old the figure was then
 * @param generation of two tellings of one gateway's incarnation, the higher is the later
 * @param room sessions of this class that could be taken over, 0 or more
 */
public record Room(String flowClass, int room, long generation, int ageMillis, long stamp) {
  /** The most characters of a class's name. */
  public static final int LONGEST_CLASS = 63;

  /**
   * @throws IllegalArgumentException where the class's name is not 1 to 63 characters of printable
   *     ASCII, or a figure is below 0
   */
  public Room {
    if (flowClass.isEmpty()
        || flowClass.length() > LONGEST_CLASS
        || !flowClass.chars().allMatch(c -> c > ' ' && c <= '~')) {
      throw new IllegalArgumentException("not the name of a class: " + flowClass);
    }
    if (room < 0 || ageMillis < 0 || stamp < 0) {
      throw new IllegalArgumentException("room, age and stamp are 0 or more");
    }
  }
}
