package brassbank.gateway.link.frame;

/**
 * An attempt of a flow is sent over. No field is a time of day: the two clocks may differ.
 *
 * @param flow the opener's own number of the flow, never used again in one incarnation
 * @param attempt which attempt of the flow this is, from 1
 * @param attempts how many attempts the other side may make of it, one after the other
 * @param leaseMillis how long from the stamp on the attempt may be out without the opener's {@code
 *     KEEP}
 * @param deadlineMillis how long from the stamp on the client waits for an answer
 * @param stamp when it was opened, in microseconds since the opener made its {@link Hello}
 * @param credit bytes that the other side may send before it gets more credit
 * @param line the client's first line, without its end, as ISO 8859-1
 */
public record Open(
    long flow,
    int attempt,
    int attempts,
    int leaseMillis,
    int deadlineMillis,
    long stamp,
    int credit,
    String line) {
  /** The longest line, as on the platform's own connections. */
  public static final int LONGEST_LINE = 4096;

  /**
   * @throws IllegalArgumentException where a figure is out of its range or the line too long or no
   *     line
   */
  public Open {
    if (attempt < 1 || attempt > 255 || attempts < 1 || attempts > 255) {
      throw new IllegalArgumentException("attempts are counted from 1 to 255");
    }
    if (leaseMillis < 1 || deadlineMillis < 1 || stamp < 0 || credit < 0) {
      throw new IllegalArgumentException("lease and deadline are 1 ms or more");
    }
    checkLine(line);
  }

  static void checkLine(String line) {
    if (line.length() > LONGEST_LINE || !line.chars().allMatch(c -> c <= 255 && c != '\n')) {
      throw new IllegalArgumentException("not a line of up to " + LONGEST_LINE + " bytes");
    }
  }
}
