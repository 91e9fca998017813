package brassbank.sim.time;

import java.util.PriorityQueue;

/**
 * What is still to happen, in the order of its virtual time, and among equals in the order in which
 * it was entered. Time stands still while a task runs; it moves only from one task to the next. One
 * thread runs an agenda; several agendas may run side by side, since they share nothing.
 */
public final class Agenda {
  /** One second of virtual time, in the agenda's unit. */
  public static final long SECOND = 1_000_000;

  /** One millisecond of virtual time, in the agenda's unit. */
  public static final long MILLI = 1_000;

  /** Something that is still to happen, unless it is cancelled before. */
  public static final class Entry {
    private final long due;
    private final long order;
    private Runnable task;

    private Entry(long due, long order, Runnable task) {
      this.due = due;
      this.order = order;
      this.task = task;
    }

    /** Takes the entry back; nothing happens where it has run already. */
    public void cancel() {
      task = null;
    }

    /** Whether it is still to happen. */
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

  /** Microseconds since the run began. */
  public long now() {
    return now;
  }

  /** Enters a task for a time, in microseconds since the run began; a past one means now. */
  public Entry at(long time, Runnable task) {
    Entry entry = new Entry(Math.max(now, time), entered++, task);
    entries.add(entry);
    return entry;
  }

  /** Enters a task for so many microseconds from now. */
  public Entry after(long micros, Runnable task) {
    return at(now + Math.max(0, micros), task);
  }

  /** Runs the next task that is due by {@code end}; false where there is none. */
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

  /** When the next entry is due, one taken back among them; the greatest value where none is. */
  public long nextDue() {
    return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().due;
  }

  /** Tasks run so far. */
  public long steps() {
    return steps;
  }

  /**
   * Adds a value to the fingerprint of the run (FNV-1a over 64-bit words). The times of all tasks
   * are in it, and whatever else is given here.
   */
  public void mix(long value) {
    fingerprint = (fingerprint ^ value) * 0x100000001b3L;
    fingerprint ^= fingerprint >>> 29;
  }

  /** Equal for two runs that did the same things at the same times. */
  public long fingerprint() {
    return fingerprint;
  }
}
