package brassbank.sim.check;

import java.util.ArrayDeque;
import java.util.Deque;

/** How many things have happened lately. */
final class SlidingWindowCounter {
  private static final long SECOND = 1_000_000;

  private final long lengthMicros;

  private final Deque<Long> times = new ArrayDeque<>();

  /** Within the last second. */
  SlidingWindowCounter() {
    this(SECOND);
  }

  /** Within so many microseconds. */
  SlidingWindowCounter(long length) {
    this.lengthMicros = length;
  }

  /** One more has happened; how many that makes. */
  int add(long now) {
    times.add(now);
    return count(now);
  }

  int count(long now) {
    while (!times.isEmpty() && times.peek() <= now - lengthMicros) {
      times.remove();
    }
    return times.size();
  }
}
