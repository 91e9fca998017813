package brassbank.gateway.link.mux;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The bytes of a session that wait to be sent: one buffer, which grows as it needs, is compacted in
 * place, and is given up when it is empty. Its bound is the session's business.
 */
final class Backlog {
  private static final int LEAST = 256;

  private byte[] data;
  private int start;
  private int end;

  int size() {
    return end - start;
  }

  /** Takes so many of the bytes. */
  void add(ByteBuffer bytes, int count) {
    if (count == 0) {
      return;
    }
    if (data == null) {
      data = new byte[Math.max(LEAST, count)];
    } else if (data.length - end < count) {
      int size = size();
      if (data.length - size < count) {
        data = Arrays.copyOfRange(data, start, start + Math.max(size + count, 2 * data.length));
      } else {
        System.arraycopy(data, start, data, 0, size);
      }
      start = 0;
      end = size;
    }
    bytes.get(data, end, count);
    end += count;
  }

  /** Moves so many bytes, of those that there are, from the front into the buffer. */
  void moveTo(ByteBuffer out, int count) {
    out.put(data, start, count);
    start += count;
    if (start == end) {
      clear();
    }
  }

  void clear() {
    data = null;
    start = 0;
    end = 0;
  }
}
