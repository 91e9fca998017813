package brassbank.relay.limits;

/**
 * The limit on the memory in which bytes wait for the peers of all sessions together: the blocks
 * that the buffer pool has leased. While more than a quarter of it is in use, memory is
 * <em>short</em>: sessions then read one line at a time and only for a peer that has accepted
 * everything before. Above the limit, sessions are ended.
 *
 * <p>docs/limits.md has the sum by which the limit, the sessions and the program fit into the heap.
 *
 * @param limitBytes the limit in bytes, above 0
 */
public record QueueMemory(long limitBytes) {
  /** No limit, for programs whose heap is shared by many proxies, as in the simulation. */
  public static final QueueMemory UNLIMITED = new QueueMemory(Long.MAX_VALUE);

  /** The part of the heap that queued bytes may take. */
  private static final int HEAP_DIVISOR = 4;

  /** Memory is short from this part of the limit on. */
  private static final int SHORT_DIVISOR = 4;

  /** The most bytes that are read at once while memory is short: a line of the maximum length. */
  static final int SHORT_READ_QUOTA_BYTES = 4 * 1024;

  /**
   * @throws IllegalArgumentException if the limit is below 1
   */
  public QueueMemory {
    if (limitBytes < 1) {
      throw new IllegalArgumentException("the limit must be above 0: " + limitBytes);
    }
  }

  /** Returns the limit for a process whose heap may grow to this size in bytes. */
  public static QueueMemory ofHeap(long heapBytes) {
    return new QueueMemory(heapBytes / HEAP_DIVISOR);
  }

  /** Returns whether memory is short while this many bytes are in use. */
  public boolean isShort(long usedBytes) {
    return usedBytes > limitBytes / SHORT_DIVISOR;
  }

  /** Returns how many bytes are in use above the limit; 0 if none. */
  public long excessBytes(long usedBytes) {
    return Math.max(0, usedBytes - limitBytes);
  }

  /**
   * Returns the most bytes to read at once, where it is {@code quotaBytes} unless memory is short.
   */
  public int readQuotaBytes(int quotaBytes, long usedBytes) {
    return isShort(usedBytes) ? Math.min(quotaBytes, SHORT_READ_QUOTA_BYTES) : quotaBytes;
  }
}
