package brassbank.relay.limits;

/**
 * The history of what waits for one peer: when the oldest byte came, and what was taken over a
 * window. Both in rings of a fixed size, so that a peer costs the same however long it is behind;
 * each operation takes constant time.
 *
 * <p>Bytes that are queued close to each other share a mark, and a window is cut into steps: a peer
 * is found too slow a sixteenth of its age limit, or an eighth of its window, late at most, and
 * never early.
 */
final class Backlog {
  private static final int MAX_MARKS = 32;
  private static final int MARKS_PER_AGE_LIMIT = 16;
  private static final int MAX_SAMPLES = 16;
  private static final int SAMPLES_PER_WINDOW = 8;

  private final Ring marks = new Ring(MAX_MARKS);
  private final Ring samples = new Ring(MAX_SAMPLES);
  private long queued;
  private long drained;

  /** Bytes that have come; nothing waited before where {@code first}. */
  void queued(long bytes, boolean first, long now, SideLimits limits) {
    long step = limits.maxAgeMicros() / MARKS_PER_AGE_LIMIT;
    if (first) {
      marks.clear();
      samples.clear();
      samples.add(now, drained);
    }
    if (marks.isEmpty() || now - marks.lastTime() > step) {
      marks.add(now, queued);
    }
    queued += bytes;
  }

  void drained(long bytes) {
    drained += bytes;
    // The mark that the oldest byte belongs to is the last one that begins at or before it.
    while (marks.size() > 1 && marks.secondValue() <= drained) {
      marks.removeFirst();
    }
  }

  /** When the oldest byte that waits came, or up to a sixteenth of the limit before that. */
  long oldestByteMicros() {
    return marks.firstTime();
  }

  /** Whether the oldest byte has waited for longer than its limit. */
  boolean exceedsMaxAge(long now, SideLimits limits) {
    return now - oldestByteMicros() - limits.maxAgeMicros() / MARKS_PER_AGE_LIMIT
        > limits.maxAgeMicros();
  }

  /** Whether too little was taken over the window, something waiting all the time. */
  boolean isBelowMinRate(long now, SideLimits limits) {
    long window = limits.windowMicros();
    while (samples.size() > 1 && now - samples.secondTime() >= window) {
      samples.removeFirst();
    }
    long span = now - samples.firstTime();
    boolean slow =
        span >= window
            && (drained - samples.firstValue()) * 1e6 < (double) limits.minBytesPerSecond() * span;
    if (now - samples.lastTime() >= window / SAMPLES_PER_WINDOW) {
      samples.add(now, drained);
    }
    return slow;
  }

  /** Times and values, oldest first; a full ring forgets its oldest. */
  private static final class Ring {
    private final long[] times;
    private final long[] values;
    private int first;
    private int size;

    Ring(int capacity) {
      times = new long[capacity];
      values = new long[capacity];
    }

    void add(long time, long value) {
      if (size == times.length) {
        removeFirst();
      }
      int at = index(size++);
      times[at] = time;
      values[at] = value;
    }

    void removeFirst() {
      first = index(1);
      size--;
    }

    void clear() {
      size = 0;
    }

    boolean isEmpty() {
      return size == 0;
    }

    int size() {
      return size;
    }

    long firstTime() {
      return times[first];
    }

    long firstValue() {
      return values[first];
    }

    long secondTime() {
      return times[index(1)];
    }

    long secondValue() {
      return values[index(1)];
    }

    long lastTime() {
      return times[index(size - 1)];
    }

    private int index(int offset) {
      return (first + offset) % times.length;
    }
  }
}
