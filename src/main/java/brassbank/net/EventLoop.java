package brassbank.net;

import brassbank.log.Log;
import brassbank.sources.Clock;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * The timers of the one loop, so that sockets, timers and decisions share a thread and need no
 * locks. The {@link Network} turns it: it asks {@link #nextDeadlineNanos} and calls {@link
 * #runDueTimers}. All of it is for the loop's thread only.
 */
public final class EventLoop {
  private static final Log LOG = Log.of("loop");

  /** Something to be done later, unless it is cancelled before. */
  public static final class Timer {
    private final long deadlineNanos;
    private final long sequence;
    private Runnable task;

    private Timer(long due, long order, Runnable task) {
      this.deadlineNanos = due;
      this.sequence = order;
      this.task = task;
    }

    public void cancel() {
      task = null;
    }
  }

  private final Clock clock;

  /** By due time; of those due at once, the one that was set first. */
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.deadlineNanos != b.deadlineNanos
                  ? Long.compare(a.deadlineNanos, b.deadlineNanos)
                  : Long.compare(a.sequence, b.sequence));

  private long nextSequence;

  public EventLoop(Clock clock) {
    this.clock = clock;
  }

  /** Runs the task after so many microseconds; with 0 or less, soon, but not within this call. */
  public Timer schedule(long micros, Runnable task) {
    long due = clock.nanos() + TimeUnit.MICROSECONDS.toNanos(Math.max(0, micros));
    Timer timer = new Timer(due, nextSequence++, task);
    timers.add(timer);
    return timer;
  }

  /**
   * When {@link #runDueTimers} is next wanted, by {@link Clock#nanos}; Long.MAX_VALUE for never.
   */
  public long nextDeadlineNanos() {
    while (!timers.isEmpty() && timers.peek().task == null) {
      timers.poll();
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().deadlineNanos;
  }

  /** Runs what is due, in the order of its time. */
  public void runDueTimers() {
    long now = clock.nanos();
    while (nextDeadlineNanos() <= now) {
      runGuarded(timers.poll().task);
    }
  }

  /** A failure in one task must not end the loop, which all connections share. */
  public static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logFailure(e);
    }
  }

  /**
   * What {@link #runGuarded} says of a failure, for those who cannot afford a task for each event.
   */
  static void logFailure(RuntimeException failure) {
    LOG.error("task-failed", failure);
  }
}
