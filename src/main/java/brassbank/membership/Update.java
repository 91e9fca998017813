package brassbank.membership;

import java.net.InetSocketAddress;

/**
 * What one member tells another of a third, or of itself.
 *
 * @param age for how long the state has held where it comes from, in seconds, {@link
 *     #MAX_AGE_SECONDS} at most; clocks are not compared
 * @param by who suspects it or saw it dead; empty for the other states
 */
public record Update(
    String name,
    InetSocketAddress address,
    String zone,
    Incarnation incarnation,
    State state,
    Activity activity,
    int ageSeconds,
    String reportedBy) {
  /** Letters of a name or a zone, which are ASCII. */
  public static final int MAX_NAME_LENGTH = 63;

  public static final int MAX_AGE_SECONDS = 65_535;

  /** Bytes that do not depend on what is told. */
  private static final int FIXED = 1 + 1 + 1 + 2 + 8 + 4 + 1 + 2 + 1;

  /** Bytes it takes in a datagram. */
  public int sizeBytes() {
    return FIXED
        + name.length()
        + zone.length()
        + reportedBy.length()
        + (address.getAddress().getAddress().length);
  }

  /** Whether a name or a zone may be told: some visible ASCII, and not too much of it. */
  public static boolean isValidName(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_NAME_LENGTH
        && text.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '"' && c != '\\');
  }
}
