package brassbank.net;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The one owner of the memory that passing bytes take, for the loop's thread. All links read into
 * one buffer, in turns; what their peers do not take at once waits in pieces that are lent out here
 * and given back when they are empty, so that an idle link holds none.
 *
 * <p>Pieces are powers of two; lending and giving back take constant time.
 */
public final class BufferPool {
  private static final int MIN_BLOCK_BYTES = 1024;
  private static final int SIZE_CLASSES = 21;

  /**
   * What is kept of given back pieces for those who are slow next: so many bytes, or half of what
   * is lent where that is more. Where many are slow, and each comes again, their pieces would else
   * be garbage, and collections would delay everybody.
   */
  private static final int MIN_RETAINED_BYTES = 256 * 1024;

  private static final int DISCARD_BUFFER_BYTES = 64 * 1024;

  private final List<Deque<byte[]>> free = new ArrayList<>();
  private ByteBuffer input;
  private ByteBuffer discarded;
  private long retainedBytes;
  private long leasedBytes;

  /**
   * @param turn bytes that a link reads in one turn at most
   */
  public BufferPool(int turn) {
    for (int i = 0; i < SIZE_CLASSES; i++) {
      free.add(new ArrayDeque<>(0));
    }
    readQuota(turn);
  }

  /**
   * Changes how many bytes a link reads in one turn at most; not while one is being told of some.
   */
  public void readQuota(int bytes) {
    if (input == null || input.capacity() != bytes) {
      input = ByteBuffer.allocateDirect(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }
  }

  /** The buffer that is read into next, empty. Its bytes last until the next link reads. */
  ByteBuffer input() {
    return input.clear();
  }

  /** Takes what is thrown away, of all links in turn. */
  ByteBuffer discarded() {
    if (discarded == null) {
      discarded = ByteBuffer.allocateDirect(DISCARD_BUFFER_BYTES);
    }
    return discarded.clear();
  }

  /** Lends a piece of so many bytes or more; {@link #release} ends it. */
  byte[] lease(int bytes) {
    int size = sizeClass(bytes);
    byte[] piece = free.get(size).poll();
    if (piece == null) {
      piece = new byte[MIN_BLOCK_BYTES << size];
    } else {
      retainedBytes -= piece.length;
    }
    leasedBytes += piece.length;
    return piece;
  }

  void release(byte[] piece) {
    leasedBytes -= piece.length;
    retainedBytes += piece.length;
    free.get(sizeClass(piece.length)).push(piece);
    // The largest go first: they are the fewest.
    for (int size = SIZE_CLASSES - 1;
        retainedBytes > Math.max(MIN_RETAINED_BYTES, leasedBytes / 2); ) {
      byte[] dropped = free.get(size).poll();
      if (dropped == null) {
        size--;
      } else {
        retainedBytes -= dropped.length;
      }
    }
  }

  private static int sizeClass(int bytes) {
    return bytes <= MIN_BLOCK_BYTES
        ? 0
        : 32 - Integer.numberOfLeadingZeros((bytes - 1) / MIN_BLOCK_BYTES);
  }

  /** Bytes that are lent out now. */
  public long leasedBytes() {
    return leasedBytes;
  }

  /** Bytes that are kept to be lent again. */
  long retainedBytes() {
    return retainedBytes;
  }
}
