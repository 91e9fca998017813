package brassbank.gateway.link.frame;

/**
 * The version of the format. Another major one cannot be spoken with; a newer minor one may send
 * kinds of frames, and fields behind those known, which are skipped.
 */
public record Version(int major, int minor) {
  /** What this program speaks. */
  public static final Version OURS = new Version(1, 0);

  @Override
  public String toString() {
    return major + "." + minor;
  }
}
