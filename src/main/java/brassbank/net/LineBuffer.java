package brassbank.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The buffer of a connection whose lines are read one by one: it grows as it needs and is compacted
 * in place. Lines are taken from its front.
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

  public LineBuffer(int longestLine) {
    this.maxLineBytes = longestLine;
  }

  /** Room for what is read next; {@link #advance} says how much was. */
  public ByteBuffer space() {
    if (data.length - end < MIN_SPACE_BYTES) {
      compact();
      if (data.length - end < MIN_SPACE_BYTES) {
        data = Arrays.copyOf(data, 2 * data.length);
      }
    }
    return ByteBuffer.wrap(data, end, data.length - end);
  }

  public void advance(int bytes) {
    end += bytes;
  }

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

  /** The next complete line without its end, or null where none is there yet. */
  public String nextLine() {
    while (true) {
      int at = scanned;
      while (at < end && data[at] != '\n') {
        at++;
      }
      scanned = at;
      if (at == end) {
        // Guards memory against a peer that never ends its line.
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

  /** Whether a line was longer than allowed; such a line is skipped. */
  public boolean hasOverlongLine() {
    return hasOverlongLine;
  }

  /** Throws away what has come and is in no line taken yet. */
  public void clear() {
    start = 0;
    scanned = 0;
    end = 0;
  }

  /** Bytes that have come and are in no line taken yet. */
  public int unreadBytes() {
    return end - start;
  }

  /** The same bytes themselves. */
  ByteBuffer unread() {
    return ByteBuffer.wrap(data, start, end - start);
  }
}
