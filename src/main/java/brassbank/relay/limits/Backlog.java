package brassbank.relay.limits;

/**
 * The history of the bytes queued for one peer: when the oldest byte was queued, and how many bytes
 * were drained over the measuring window. Both are kept in ring buffers of a fixed size, so that
 * memory and time per operation do not grow while the peer is behind.
 *
 * <p>Bytes queued within a short time share a mark, and the window is divided into samples. A
 * violation is therefore detected late by up to a sixteenth of the age limit or an eighth of the
 * window, and never early.
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

  /**
   * Adds queued bytes.
   *
   * @param first whether no bytes were queued before
   */
  void queued(long bytes, boolean first, long now, SideLimits limits) {
    long step = limits.maxAgeMicros() / MARKS_PER_AGE_LIMIT;
    if (first) {
      marks.clear();
      restartSamples(now);
    }
    if (marks.isEmpty() || now - marks.lastTime() > step) {
      marks.add(now, queued);
    }
    queued += bytes;
  }

  /** Measures anew from now on, as if all queued bytes had been queued now. */
  void restart(long now) {
    marks.clear();
    marks.add(now, drained);
    restartSamples(now);
  }

  private void restartSamples(long now) {
    samples.clear();
    samples.add(now, drained);
  }

  /** Removes drained bytes. */
  void drained(long bytes) {
    drained += bytes;
    // The oldest queued byte belongs to the last mark that starts at or before it.
    while (marks.size() > 1 && marks.secondValue() <= drained) {
      marks.removeFirst();
    }
  }

  /** Returns when the oldest queued byte was queued, or up to a sixteenth of the limit earlier. */
  long oldestByteMicros() {
    return marks.firstTime();
  }

  /** Returns whether the oldest byte has been queued for longer than the limit. */
  boolean exceedsMaxAge(long now, SideLimits limits) {
    return now - oldestByteMicros() - limits.maxAgeMicros() / MARKS_PER_AGE_LIMIT
        > limits.maxAgeMicros();
  }

  /** Returns whether too few bytes were drained over the window, with bytes queued throughout. */
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

  /** A ring buffer of times and values, oldest first; adding to a full one removes the oldest. */
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
