package brassbank.relay;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.LongBuffer;

/**
 * Finds the line feeds in a range of bytes, eight bytes at a time: a byte of a word is a line feed
 * where its exclusive or with a line feed is zero (H. Warren, "Hacker's Delight", 6-1, in the form
 * without false positives).
 *
 * <p>The words are copied into an array first. The Java runtime of the deployment compiles a loop
 * over an array well and one over a direct buffer badly: 0.5 ns per byte with the array, 1.5 ns
 * reading words from the buffer and 8 ns reading bytes (docs/relay.md). One scanner serves all
 * sessions in turn. Not thread-safe.
 */
final class LineFeedScanner {
  private static final long FEED_PATTERN = 0x0a0a0a0a0a0a0a0aL;
  private static final long LOW_BITS = 0x7f7f7f7f7f7f7f7fL;
  private static final long HIGH_BITS = ~LOW_BITS;

  /** Number of words that are tested together while none of them holds a line feed. */
  private static final int STRIDE = 4;

  /**
   * Holds {@link #FEED_PATTERN}; deliberately an instance field that is not final. The C1 compiler
   * embeds an eight-byte constant in every instruction that uses it, but keeps a variable in a
   * register.
   */
  private long feedPattern = FEED_PATTERN;

  private long onePattern = 0x0101010101010101L;

  private long[] words = new long[0];
  private int from;
  private int to;

  /** The direct buffer scanned last, usually the shared read buffer, and its view as words. */
  private ByteBuffer lastBuffer;

  private LongBuffer lastBufferWords;

  /** Selects the bytes to scan, by their indices in the buffer. */
  void reset(ByteBuffer bytes, int start, int end) {
    from = start;
    to = end;
    int count = (end - start + Long.BYTES - 1) / Long.BYTES;
    if (words.length < count) {
      words = new long[count];
    }
    if (bytes.isDirect() && start % Long.BYTES == 0 && bytes.capacity() % Long.BYTES == 0) {
      if (bytes != lastBuffer) {
        lastBuffer = bytes;
        lastBufferWords = bytes.duplicate().clear().order(ByteOrder.LITTLE_ENDIAN).asLongBuffer();
      }
      lastBufferWords.get(start / Long.BYTES, words, 0, count);
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

  /** Returns the index of the first line feed at or after this index, or -1 if there is none. */
  int next(int index) {
    int at = index - from;
    int count = (to - from + Long.BYTES - 1) / Long.BYTES;
    int word = at / Long.BYTES;
    if (word == count) {
      return -1;
    }
    // Masks out the bytes of the word before the index.
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

  /**
   * Returns the index of the last line feed before {@code end}, or -1. Searches backwards byte by
   * byte, since it is usually among the last bytes.
   */
  static int last(ByteBuffer bytes, int start, int end) {
    int at = end - 1;
    while (at >= start && bytes.get(at) != '\n') {
      at--;
    }
    return at < start ? -1 : at;
  }

  /** Returns a word in which the highest bit of each byte that is a line feed is set, no others. */
  private static long lineFeedBits(long word) {
    long zeros = word ^ FEED_PATTERN;
    return ~(((zeros & LOW_BITS) + LOW_BITS) | zeros | LOW_BITS);
  }

  /**
   * Skips words without a line feed, several at a time, and returns the index of the first word not
   * skipped. A word x contains a zero byte exactly if {@code (x - 0x01..01) & ~x & 0x80..80} is not
   * zero (the same book, 6-1).
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
