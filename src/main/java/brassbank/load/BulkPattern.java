package brassbank.load;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Deterministic bulk data: a repeated block of numbered lines of equal length, so that the receiver
 * can verify each byte. An instance belongs to one direction of one connection and tracks the
 * position up to which bytes were sent or received.
 */
final class BulkPattern {
  /** Approximate size of the repeated block, which holds a whole number of lines. */
  private static final int TARGET_BLOCK_BYTES = 64 * 1024;

  private final ByteBuffer block;
  private long position;

  /** Creates a pattern at position 0 that shares the block of another one. */
  BulkPattern(BulkPattern other) {
    this.block = other.block;
  }

  /**
   * Creates a pattern at position 0 with a block of its own.
   *
   * @param lineBytes the length of a line including CR LF, 16 to 4,096
   */
  BulkPattern(int lineBytes) {
    int lines = Math.max(1, TARGET_BLOCK_BYTES / lineBytes);
    block = ByteBuffer.allocateDirect(lines * lineBytes);
    for (int i = 0; i < lines; i++) {
      String start = String.format("b %08x ", i);
      block.put(start.getBytes(StandardCharsets.ISO_8859_1));
      for (int j = start.length(); j < lineBytes - 2; j++) {
        block.put((byte) ('a' + (i + j) % 26));
      }
      block.put((byte) '\r').put((byte) '\n');
    }
    block.flip();
  }

  /**
   * Returns the next bytes at the current position, without advancing it. The slice may be shorter
   * than {@code maxBytes}, since it ends with the block.
   */
  ByteBuffer nextSlice(int maxBytes) {
    int from = (int) (position % block.capacity());
    return block.slice(from, Math.min(maxBytes, block.capacity() - from));
  }

  /** Advances the position by the number of bytes that were sent. */
  void advance(int bytes) {
    position += bytes;
  }

  /** Returns the number of bytes sent or verified so far. */
  long position() {
    return position;
  }

  /**
   * Consumes received bytes and advances the position.
   *
   * @return false at the first slice of the block that differs from the expected bytes
   */
  boolean matches(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      ByteBuffer expected = nextSlice(bytes.remaining());
      int count = expected.remaining();
      if (expected.mismatch(bytes.slice(bytes.position(), count)) >= 0) {
        return false;
      }
      bytes.position(bytes.position() + count);
      position += count;
    }
    return true;
  }
}
