package brassbank.sim.check;

import java.util.ArrayDeque;
import java.util.Deque;

/** How many things have happened lately. */
final class Window {
  private static final long SECOND = 1_000_000;

  private final long length;

  private final Deque<Long> times = new ArrayDeque<>();

  /** Within the last second. */
  Window() {
    this(SECOND);
  }

  /** Within so many microseconds. */
  Window(long length) {
    this.length = length;
  }

  /** One more has happened; how many that makes. */
  int add(long now) {
    times.add(now);
    return count(now);
  }

  int count(long now) {
    while (!times.isEmpty() && times.peek() <= now - length) {
      times.remove();
    }
    return times.size();
  }
}
