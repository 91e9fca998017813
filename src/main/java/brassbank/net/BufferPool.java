package brassbank.net;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The buffer memory of all links. All links read into one shared direct buffer. Bytes that a peer
 * does not accept at once are kept in heap blocks, which a link leases from this pool and returns
 * when they are empty, so that an idle link holds no block.
 *
 * <p>The length of a block is a power of two; leasing and returning one take constant time. Not
 * thread-safe: for the event loop's thread only.
 */
public final class BufferPool {
  private static final int MIN_BLOCK_BYTES = 1024;
  private static final int SIZE_CLASSES = 21;

  /**
   * The pool retains returned blocks up to this total, or up to half of the leased bytes where that
   * is more. Without retained blocks, many slow peers that fall behind repeatedly would turn their
   * blocks into garbage, and the collections would delay all sessions.
   */
  private static final int MIN_RETAINED_BYTES = 256 * 1024;

  /**
   * Free space before the bytes that are read into the shared buffer: a handler that has held back
   * the beginning of a line puts it there, so that the whole line is written in one call.
   */
  static final int INPUT_HEADROOM_BYTES = Link.MAX_LINE_BYTES;

  private static final int DISCARD_BUFFER_BYTES = 64 * 1024;

  private final List<Deque<byte[]>> free = new ArrayList<>();
  private ByteBuffer input;
  private ByteBuffer discardBuffer;
  private long retainedBytes;
  private long leasedBytes;

  /**
   * @param readQuotaBytes the most bytes that a link reads per readable event
   */
  public BufferPool(int readQuotaBytes) {
    for (int i = 0; i < SIZE_CLASSES; i++) {
      free.add(new ArrayDeque<>(0));
    }
    readQuota(readQuotaBytes);
  }

  /**
   * Sets the most bytes that a link reads per readable event. Must not be called while a handler is
   * processing bytes of the shared buffer.
   *
   * @throws IllegalArgumentException if there is not enough direct memory; the previous quota
   *     stands
   */
  public void readQuota(int bytes) {
    int capacity = INPUT_HEADROOM_BYTES + bytes;
    if (input == null || input.capacity() != capacity) {
      try {
        input = ByteBuffer.allocateDirect(capacity).order(ByteOrder.LITTLE_ENDIAN);
      } catch (OutOfMemoryError e) {
        throw new IllegalArgumentException(
            "no direct memory for a read quota of " + bytes + " bytes", e);
      }
    }
  }

  /**
   * Returns the shared read buffer, positioned behind its headroom. Its content is valid until the
   * next link reads.
   */
  ByteBuffer input() {
    return input.clear().position(INPUT_HEADROOM_BYTES);
  }

  /** Returns the buffer, cleared, into which all links read the bytes that they discard. */
  ByteBuffer discardBuffer() {
    if (discardBuffer == null) {
      discardBuffer = ByteBuffer.allocateDirect(DISCARD_BUFFER_BYTES);
    }
    return discardBuffer.clear();
  }

  /** Leases a block of at least this length; the caller returns it by {@link #release}. */
  public byte[] lease(int bytes) {
    int size = sizeClass(bytes);
    byte[] block = free.get(size).poll();
    if (block == null) {
      block = new byte[MIN_BLOCK_BYTES << size];
    } else {
      retainedBytes -= block.length;
    }
    leasedBytes += block.length;
    return block;
  }

  /** Returns a leased block, and frees retained blocks beyond the limit. */
  public void release(byte[] block) {
    leasedBytes -= block.length;
    retainedBytes += block.length;
    free.get(sizeClass(block.length)).push(block);
    // Frees the largest blocks first, since there are the fewest of them.
    for (int size = SIZE_CLASSES - 1;
        retainedBytes > Math.max(MIN_RETAINED_BYTES, leasedBytes / 2); ) {
      byte[] freed = free.get(size).poll();
      if (freed == null) {
        size--;
      } else {
        retainedBytes -= freed.length;
      }
    }
  }

  private static int sizeClass(int bytes) {
    return bytes <= MIN_BLOCK_BYTES
        ? 0
        : 32 - Integer.numberOfLeadingZeros((bytes - 1) / MIN_BLOCK_BYTES);
  }

  /** Returns the total length of the leased blocks. */
  public long leasedBytes() {
    return leasedBytes;
  }

  /** Returns the total length of the blocks that are retained for reuse. */
  long retainedBytes() {
    return retainedBytes;
  }
}
