package brassbank.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The receive buffer of a connection that is read line by line. Received bytes are appended at its
 * end and lines are removed from its front. It grows on demand and is compacted in place. Not
 * thread-safe.
 */
public final class LineBuffer {
  private static final int INITIAL_BYTES = 512;
  private static final int MIN_SPACE_BYTES = 256;

  private final int maxLineBytes;
  private byte[] data = new byte[INITIAL_BYTES];
  private int start;
  private int scanned;
  private int end;
  private boolean skipping;
  private boolean hasOverlongLine;

  /**
   * @param maxLineBytes the longest line that is returned, in bytes; longer ones are skipped
   */
  public LineBuffer(int longestLine) {
    this.maxLineBytes = longestLine;
  }

  /** Returns free space to read into; {@link #advance} then reports how many bytes were read. */
  public ByteBuffer space() {
    if (data.length - end < MIN_SPACE_BYTES) {
      compact();
      if (data.length - end < MIN_SPACE_BYTES) {
        data = Arrays.copyOf(data, 2 * data.length);
      }
    }
    return ByteBuffer.wrap(data, end, data.length - end);
  }

  /** Adds the bytes that were read into {@link #space}. */
  public void advance(int bytes) {
    end += bytes;
  }

  /** Appends a copy of the bytes. */
  public void append(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      ByteBuffer space = space();
      int count = Math.min(space.remaining(), bytes.remaining());
      bytes.get(data, end, count);
      end += count;
    }
  }

  private void compact() {
    System.arraycopy(data, start, data, 0, end - start);
    scanned -= start;
    end -= start;
    start = 0;
  }

  /** Removes and returns the next complete line without its line end; null if there is none. */
  public String nextLine() {
    while (true) {
      int at = scanned;
      while (at < end && data[at] != '\n') {
        at++;
      }
      scanned = at;
      if (at == end) {
        // Bounds the memory that a peer which never ends its line can occupy.
        if (end - start > maxLineBytes) {
          hasOverlongLine = true;
          skipping = true;
          start = end;
        }
        return null;
      }
      int stop = at > start && data[at - 1] == '\r' ? at - 1 : at;
      boolean skip = skipping || at - start > maxLineBytes;
      hasOverlongLine |= skip;
      String line =
          skip ? null : new String(data, start, stop - start, StandardCharsets.ISO_8859_1);
      skipping = false;
      start = at + 1;
      scanned = start;
      if (line != null) {
        return line;
      }
    }
  }

  /** Returns whether a line exceeded the maximum length and was skipped. */
  public boolean hasOverlongLine() {
    return hasOverlongLine;
  }

  /** Discards the received bytes that no returned line contained. */
  public void clear() {
    start = 0;
    scanned = 0;
    end = 0;
  }

  /** Returns the number of received bytes that no returned line contained. */
  public int unreadBytes() {
    return end - start;
  }

  /** Returns the received bytes that no returned line contained; shares the buffer's memory. */
  ByteBuffer unread() {
    return ByteBuffer.wrap(data, start, end - start);
  }
}
