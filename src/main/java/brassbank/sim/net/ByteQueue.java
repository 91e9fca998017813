package brassbank.sim.net;

import java.util.Arrays;

/** A FIFO queue of bytes in one array that grows as needed and is compacted in place. */
final class ByteQueue {
  private static final int INITIAL_CAPACITY = 256;

  private byte[] data = new byte[INITIAL_CAPACITY];
  private int start;
  private int end;

  int size() {
    return end - start;
  }

  void add(byte[] from, int offset, int count) {
    if (data.length - end < count) {
      System.arraycopy(data, start, data, 0, size());
      end -= start;
      start = 0;
      if (data.length - end < count) {
        data = Arrays.copyOf(data, Math.max(2 * data.length, end + count));
      }
    }
    System.arraycopy(from, offset, data, end, count);
    end += count;
  }

  int remove(byte[] into, int offset, int maxCount) {
    int count = Math.min(maxCount, size());
    System.arraycopy(data, start, into, offset, count);
    start += count;
    if (start == end) {
      start = 0;
      end = 0;
    }
    return count;
  }

  byte[] remove(int count) {
    byte[] removed = new byte[count];
    remove(removed, 0, count);
    return removed;
  }

  void clear() {
    start = 0;
    end = 0;
  }
}
