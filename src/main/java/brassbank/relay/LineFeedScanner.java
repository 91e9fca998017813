package brassbank.relay;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;

/**
 * The line feeds of a piece of bytes, found eight bytes at a time: the bytes of a word that are
 * line feeds are those whose exclusive or with a line feed is zero (H. Warren, "Hacker's Delight",
 * 6-1, in the form without false hits).
 *
 * <p>The words are copied out first. The runtime that the platform's proxy has compiles a loop over
 * an array well, and one over a direct buffer badly: 0.5 ns a byte here, 1.5 by the buffer's words
 * and 8 by its bytes (docs/relay.md). One object serves all sessions in turn.
 */
final class LineFeedScanner {
  private static final long FEED_PATTERN = 0x0a0a0a0a0a0a0a0aL;
  private static final long LOW_BITS = 0x7f7f7f7f7f7f7f7fL;
  private static final long HIGH_BITS = ~LOW_BITS;

  /** Words that are looked at together where no line feed is near. */
  private static final int STRIDE = 4;

  /**
   * The same as the constant of that name, and a field that is not final, on purpose: the first
   * compiler writes a constant of eight bytes into every instruction that uses it, and keeps a
   * variable in a register.
   */
  private long feedPattern = FEED_PATTERN;

  private long onePattern = 0x0101010101010101L;

  private long[] words = new long[0];
  private int from;
  private int to;

  /** The buffer that most pieces come in, and its words. */
  private ByteBuffer lastBuffer;

  private LongBuffer lastBufferWords;

  /** Looks at these bytes from here on, in which places are the buffer's own. */
  void reset(ByteBuffer bytes, int start, int end) {
    from = start;
    to = end;
    int count = (end - start + Long.BYTES - 1) / Long.BYTES;
    if (words.length < count) {
      words = new long[count];
    }
    if (bytes.isDirect() && start == 0 && bytes.capacity() % Long.BYTES == 0) {
      if (bytes != lastBuffer) {
        lastBuffer = bytes;
        lastBufferWords = bytes.duplicate().clear().order(ByteOrder.LITTLE_ENDIAN).asLongBuffer();
      }
      lastBufferWords.get(0, words, 0, count);
      return;
    }
    for (int i = 0; i < count; i++) {
      long word = 0;
      int at = start + i * Long.BYTES;
      for (int j = Math.min(Long.BYTES, end - at) - 1; j >= 0; j--) {
        word = word << 8 | bytes.get(at + j) & 0xff;
      }
      words[i] = word;
    }
  }

  /** The first line feed at this place or behind it, or -1 where there is none. */
  int next(int place) {
    int at = place - from;
    int count = (to - from + Long.BYTES - 1) / Long.BYTES;
    int word = at / Long.BYTES;
    if (word == count) {
      return -1;
    }
    // What stands before the place in its word does not count.
    long hits = lineFeedBits(words[word]) & -1L << (at % Long.BYTES * Byte.SIZE);
    if (hits == 0) {
      for (word = skipWithoutLineFeed(word + 1, count); word < count && hits == 0; word++) {
        hits = lineFeedBits(words[word]);
      }
      if (hits == 0) {
        return -1;
      }
      word--;
    }
    int found = from + word * Long.BYTES + (Long.numberOfTrailingZeros(hits) >>> 3);
    return found < to ? found : -1;
  }

  /** The highest bit of each byte that is a line feed, and no others. */
  private static long lineFeedBits(long word) {
    long zeros = word ^ FEED_PATTERN;
    return ~(((zeros & LOW_BITS) + LOW_BITS) | zeros | LOW_BITS);
  }

  /**
   * Leaves out words without a line feed, several at a time. A word x has a byte of zero exactly
   * where {@code (x - 0x01..01) & ~x & 0x80..80} is not zero (the same book, 6-1).
   */
  private int skipWithoutLineFeed(int first, int count) {
    long[] in = words;
    long feed = feedPattern;
    long one = onePattern;
    int i = first;
    for (; i <= count - STRIDE; i += STRIDE) {
      long a = in[i] ^ feed;
      long b = in[i + 1] ^ feed;
      long c = in[i + 2] ^ feed;
      long d = in[i + 3] ^ feed;
      long hits = (a - one & ~a) | (b - one & ~b) | (c - one & ~c) | (d - one & ~d);
      if ((hits & HIGH_BITS) != 0) {
        return i;
      }
    }
    return i;
  }
}
