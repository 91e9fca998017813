package brassbank.relay;

import java.nio.ByteBuffer;

/** Tracks in a client's bytes whether a line has ended and whether an unfinished one has begun. */
final class ClientLineTracker {
  private boolean inLine;

  /** Processes the bytes and returns whether a line ends within them. */
  boolean follow(ByteBuffer bytes, int from, int to) {
    if (from == to) {
      return false;
    }
    int feed = LineFeedScanner.last(bytes, from, to);
    inLine = feed != to - 1;
    return feed >= 0;
  }

  /** Returns whether the bytes so far end within a line. */
  boolean inLine() {
    return inLine;
  }
}
