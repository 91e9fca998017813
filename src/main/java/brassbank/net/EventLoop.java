package brassbank.net;

import brassbank.log.Log;
import brassbank.sources.Clock;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * The timers of the event loop. Sockets, timers and decisions share the loop's one thread and need
 * no locks. The {@link Network} drives the loop: it waits for events no longer than until {@link
 * #nextDeadlineNanos} and then calls {@link #runDueTimers}. For the event loop's thread only.
 */
public final class EventLoop {
  private static final Log LOG = Log.of("loop");

  /** A scheduled task, which can be cancelled before it runs. */
  public static final class Timer {
    private final long deadlineNanos;
    private final long sequence;
    private Runnable task;

    private Timer(long deadlineNanos, long sequence, Runnable task) {
      this.deadlineNanos = deadlineNanos;
      this.sequence = sequence;
      this.task = task;
    }

    /** Cancels the task; has no effect once it has run. */
    public void cancel() {
      task = null;
    }
  }

  private final Clock clock;

  /** Ordered by deadline; timers with the same deadline in the order in which they were set. */
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

  /**
   * Schedules a task. It never runs within this call, even with a delay of 0.
   *
   * @param delayMicros the delay in microseconds; a negative one counts as 0
   */
  public Timer schedule(long delayMicros, Runnable task) {
    long deadline = clock.nanos() + TimeUnit.MICROSECONDS.toNanos(Math.max(0, delayMicros));
    Timer timer = new Timer(deadline, nextSequence++, task);
    timers.add(timer);
    return timer;
  }

  /**
   * Returns the time of {@link Clock#nanos} at which {@link #runDueTimers} is next to be called;
   * {@code Long.MAX_VALUE} if no timer is set.
   */
  public long nextDeadlineNanos() {
    while (!timers.isEmpty() && timers.peek().task == null) {
      timers.poll();
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().deadlineNanos;
  }

  /** Runs the tasks whose deadline has passed, in the order of their deadlines. */
  public void runDueTimers() {
    long now = clock.nanos();
    while (nextDeadlineNanos() <= now) {
      runGuarded(timers.poll().task);
    }
  }

  /**
   * Runs a task and logs a runtime exception that it throws: a failure in one task must not end the
   * event loop, which all connections share.
   */
  public static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      logFailure(e);
    }
  }

  /**
   * Logs a failure as {@link #runGuarded} does, for callers on a hot path that would otherwise
   * allocate a {@code Runnable} for each event.
   */
  static void logFailure(RuntimeException failure) {
    LOG.error("task-failed", failure);
  }
}
