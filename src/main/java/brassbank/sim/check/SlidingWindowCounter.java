package brassbank.sim.check;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts occurrences within a sliding window of time. */
final class SlidingWindowCounter {
  private static final long SECOND = 1_000_000;

  private final long lengthMicros;

  private final Deque<Long> times = new ArrayDeque<>();

  /** Creates a counter over the last second. */
  SlidingWindowCounter() {
    this(SECOND);
  }

  /** Creates a counter over a window of {@code length} microseconds. */
  SlidingWindowCounter(long length) {
    this.lengthMicros = length;
  }

  /** Records an occurrence and returns the number of occurrences in the window. */
  int add(long now) {
    times.add(now);
    return count(now);
  }

  /** Returns the number of occurrences in the window that ends at {@code now}. */
  int count(long now) {
    while (!times.isEmpty() && times.peek() <= now - lengthMicros) {
      times.remove();
    }
    return times.size();
  }
}
