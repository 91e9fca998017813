package brassbank.relay;

import java.nio.ByteBuffer;

/** The lines of a client: all that matters is whether one has ended, and whether one has begun. */
final class ClientLineTracker {
  private boolean inLine;

  /** Follows the bytes; true where a line ends within them. */
  boolean follow(ByteBuffer bytes, int from, int to) {
    if (from == to) {
      return false;
    }
    int feed = lastFeed(bytes, from, to);
    inLine = feed != to - 1;
    return feed >= 0;
  }

  /** Whether a line has begun that has not ended. */
  boolean inLine() {
    return inLine;
  }

  /** The place of the last line feed before {@code to}, or -1: few bytes back in most cases. */
  private static int lastFeed(ByteBuffer bytes, int from, int to) {
    int at = to - 1;
    while (at >= from && bytes.get(at) != '\n') {
      at--;
    }
    return at < from ? -1 : at;
  }
}
