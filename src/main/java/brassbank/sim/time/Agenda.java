package brassbank.sim.time;

import java.util.PriorityQueue;

/**
 * The event queue of a discrete-event simulation: tasks run in the order of their virtual time and,
 * among equal times, in the order in which they were scheduled. Virtual time does not advance while
 * a task runs; it advances only from one task to the next.
 *
 * <p>Not thread-safe: one thread runs an agenda. Several agendas may run on different threads,
 * since they share no state.
 */
public final class Agenda {
  /** One second of virtual time, in microseconds. */
  public static final long SECOND = 1_000_000;

  /** One millisecond of virtual time, in microseconds. */
  public static final long MILLI = 1_000;

  /** A scheduled task, which may be cancelled until it runs. */
  public static final class Entry {
    private final long due;
    private final long order;
    private Runnable task;

    private Entry(long due, long order, Runnable task) {
      this.due = due;
      this.order = order;
      this.task = task;
    }

    /** Cancels the task; has no effect if the task has already run. */
    public void cancel() {
      task = null;
    }

    /** Returns whether the task has neither run nor been cancelled. */
    public boolean isPending() {
      return task != null;
    }
  }

  private final PriorityQueue<Entry> entries =
      new PriorityQueue<>(
          (a, b) -> a.due != b.due ? Long.compare(a.due, b.due) : Long.compare(a.order, b.order));
  private long now;
  private long entered;
  private long steps;
  private long fingerprint = 0xcbf29ce484222325L;

  /** Returns the virtual time, in microseconds since the run began. */
  public long now() {
    return now;
  }

  /**
   * Schedules a task at a virtual time, in microseconds since the run began; a time in the past is
   * taken as now.
   */
  public Entry at(long time, Runnable task) {
    Entry entry = new Entry(Math.max(now, time), entered++, task);
    entries.add(entry);
    return entry;
  }

  /** Schedules a task after a delay in microseconds. */
  public Entry after(long micros, Runnable task) {
    return at(now + Math.max(0, micros), task);
  }

  /**
   * Runs the next task that is due by {@code end}, and advances the virtual time to it. Where no
   * task is due, advances the time to {@code end}.
   *
   * @return false where no task was due
   */
  public boolean step(long end) {
    while (!entries.isEmpty() && entries.peek().due <= end) {
      Entry next = entries.poll();
      Runnable task = next.task;
      if (task != null) {
        next.task = null;
        now = next.due;
        steps++;
        mix(now);
        task.run();
        return true;
      }
    }
    now = Math.max(now, end);
    return false;
  }

  /**
   * Returns when the next entry is due, even if it was cancelled; {@link Long#MAX_VALUE} where
   * there is none.
   */
  public long nextDue() {
    return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().due;
  }

  /** Returns the number of tasks run so far. */
  public long steps() {
    return steps;
  }

  /**
   * Adds a value to the run's fingerprint (FNV-1a over 64-bit words). The times of all tasks are
   * part of the fingerprint, and so is every value added here.
   */
  public void mix(long value) {
    fingerprint = (fingerprint ^ value) * 0x100000001b3L;
    fingerprint ^= fingerprint >>> 29;
  }

  /**
   * Returns the run's fingerprint, which is equal for two runs that did the same things at the same
   * times.
   */
  public long fingerprint() {
    return fingerprint;
  }
}
