package brassbank.membership;

import java.net.InetSocketAddress;

/**
 * What one member reports to another about a third, or about itself.
 *
 * @param ageSeconds how long the state has held at the sender, at most {@link #MAX_AGE_SECONDS};
 *     members' clocks are never compared
 * @param reportedBy the member that suspects this one or declared it dead; empty for the other
 *     states
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
  /** Maximum length of a name or a zone, which are ASCII. */
  public static final int MAX_NAME_LENGTH = 63;

  public static final int MAX_AGE_SECONDS = 65_535;

  /** Bytes of an update other than its texts and its address. */
  private static final int FIXED_BYTES = 1 + 1 + 1 + 2 + 8 + 4 + 1 + 2 + 1;

  /** Returns the number of bytes that this update takes in a datagram. */
  public int sizeBytes() {
    return FIXED_BYTES
        + name.length()
        + zone.length()
        + reportedBy.length()
        + (address.getAddress().getAddress().length);
  }

  /**
   * Returns whether a text may be a name or a zone: 1 to {@link #MAX_NAME_LENGTH} visible ASCII
   * characters without quotation marks and backslashes.
   */
  public static boolean isValidName(String text) {
    return !text.isEmpty()
        && text.length() <= MAX_NAME_LENGTH
        && text.chars().allMatch(c -> c > ' ' && c < 0x7f && c != '"' && c != '\\');
  }
}
