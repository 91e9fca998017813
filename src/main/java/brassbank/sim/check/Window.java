package brassbank.sim.check;

import java.util.ArrayDeque;
import java.util.Deque;

/** How many things have happened within the last second. */
final class Window {
  private static final long LENGTH = 1_000_000;

  private final Deque<Long> times = new ArrayDeque<>();

  /** One more has happened; how many that makes. */
  int add(long now) {
    times.add(now);
    return count(now);
  }

  int count(long now) {
    while (!times.isEmpty() && times.peek() <= now - LENGTH) {
      times.remove();
    }
    return times.size();
  }
}
