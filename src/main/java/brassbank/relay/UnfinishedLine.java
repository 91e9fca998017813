package brassbank.relay;

import brassbank.net.BufferPool;
import brassbank.net.Link;
import java.nio.ByteBuffer;

/**
 * The beginning of a host's line, held back from the client until the line ends. A client that has
 * received whole lines only can be sent the final line at any time, whether or not the host ever
 * ends the line that it has begun.
 *
 * <p>Holds {@link Link#MAX_LINE_BYTES} at most, in a block of the {@link BufferPool}, and no block
 * while it is empty. Not thread-safe.
 */
final class UnfinishedLine {
  private final BufferPool buffers;
  private byte[] block;
  private int length;

  UnfinishedLine(BufferPool buffers) {
    this.buffers = buffers;
  }

  /** Returns the number of bytes held back. */
  int length() {
    return length;
  }

  /**
   * Appends the remaining bytes and consumes them. The caller keeps the total within {@link
   * Link#MAX_LINE_BYTES}.
   */
  void append(ByteBuffer bytes) {
    int added = bytes.remaining();
    if (added == 0) {
      return;
    }
    ensureCapacity(length + added);
    bytes.get(block, length, added);
    length += added;
  }

  private void ensureCapacity(int needed) {
    byte[] old = block;
    if (old != null && old.length >= needed) {
      return;
    }
    block = buffers.lease(needed);
    if (old != null) {
      System.arraycopy(old, 0, block, 0, length);
      buffers.release(old);
    }
  }

  /**
   * Moves the held bytes to directly before the position of the buffer, which needs as much space
   * there, and sets the position to their beginning.
   */
  void prependTo(ByteBuffer bytes) {
    if (length == 0) {
      return;
    }
    int start = bytes.position() - length;
    bytes.put(start, block, 0, length);
    bytes.position(start);
    clear();
  }

  /** Removes the held bytes and returns a copy of them. */
  ByteBuffer take() {
    ByteBuffer bytes = ByteBuffer.allocate(length);
    if (length > 0) {
      bytes.put(block, 0, length).flip();
    }
    clear();
    return bytes;
  }

  /** Discards the held bytes and returns the block to the pool. */
  void clear() {
    if (block != null) {
      buffers.release(block);
      block = null;
    }
    length = 0;
  }
}
