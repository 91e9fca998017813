package brassbank.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The one buffer of a connection: it grows as it needs and is compacted in place. Lines are taken
 * from its front; bytes can be passed on before their line is complete.
 */
public final class LineBuffer {
  private static final int FIRST_SIZE = 512;
  private static final int LEAST_SPACE = 256;

  private final int longestLine;
  private byte[] data = new byte[FIRST_SIZE];
  private int start;
  private int scanned;
  private int passed;
  private int end;
  private boolean skipping;
  private boolean overlong;

  public LineBuffer(int longestLine) {
    this.longestLine = longestLine;
  }

  /** Room for what is read next; {@link #filled} says how much was. */
  public ByteBuffer space() {
    if (data.length - end < LEAST_SPACE) {
      compact();
      if (data.length - end < LEAST_SPACE) {
        data = Arrays.copyOf(data, 2 * data.length);
      }
    }
    return ByteBuffer.wrap(data, end, data.length - end);
  }

  public void filled(int bytes) {
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
    int kept = Math.min(start, passed);
    System.arraycopy(data, kept, data, 0, end - kept);
    start -= kept;
    scanned -= kept;
    passed -= kept;
    end -= kept;
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
        if (end - start > longestLine) {
          overlong = true;
          skipping = true;
          start = end;
        }
        return null;
      }
      int stop = at > start && data[at - 1] == '\r' ? at - 1 : at;
      boolean skip = skipping || at - start > longestLine;
      overlong |= skip;
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
  public boolean overlong() {
    return overlong;
  }

  /** Whether the last byte that came was the end of a line, or nothing came. */
  public boolean atLineEnd() {
    return start == end && !skipping;
  }

  /** Bytes that have come and are in no line taken yet. */
  public int held() {
    return end - start;
  }

  /** Leaves the lines taken so far out of what is passed on. */
  public void passFromHere() {
    passed = start;
  }

  /** All bytes that came since the last call, for passing on as they are. */
  public byte[] fresh() {
    byte[] fresh = Arrays.copyOfRange(data, passed, end);
    passed = end;
    return fresh;
  }
}
