package brassbank.net;

import brassbank.log.Log;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * Grizzly's selector loop with timers in it, so that sockets, timers and decisions share the one
 * selector thread and need no locks.
 */
public final class Loop extends DefaultSelectorHandler {
  private static final Log LOG = Log.of("loop");
  private static final long LONGEST_WAIT_MILLIS = 1_000;

  /** Something to be done later, unless it is cancelled before. */
  public static final class Timer {
    private final long due;
    private final long order;
    private Runnable task;

    private Timer(long due, long order, Runnable task) {
      this.due = due;
      this.order = order;
      this.task = task;
    }

    public void cancel() {
      task = null;
    }
  }

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) -> a.due != b.due ? Long.compare(a.due, b.due) : Long.compare(a.order, b.order));
  private long count;

  /** Runs the task on the selector thread after so many microseconds; call it there only. */
  public Timer after(long micros, Runnable task) {
    long due = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(Math.max(0, micros));
    Timer timer = new Timer(due, count++, task);
    timers.add(timer);
    return timer;
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    Selector selector = runner.getSelector();
    long wait = untilNext();
    if (wait <= 0 || !runner.getPostponedTasks().isEmpty()) {
      selector.selectNow();
    } else {
      selector.select(wait);
    }
    return selector.selectedKeys();
  }

  @Override
  public void postSelect(SelectorRunner runner) {
    long now = System.nanoTime();
    while (!timers.isEmpty() && (timers.peek().task == null || timers.peek().due <= now)) {
      Runnable task = timers.poll().task;
      if (task != null) {
        guarded(task);
      }
    }
  }

  /** A failure in one task must not end the loop, which all connections share. */
  public static void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("a task has failed", e);
    }
  }

  private long untilNext() {
    while (!timers.isEmpty() && timers.peek().task == null) {
      timers.poll();
    }
    if (timers.isEmpty()) {
      return LONGEST_WAIT_MILLIS;
    }
    long nanos = timers.peek().due - System.nanoTime();
    return Math.min(LONGEST_WAIT_MILLIS, (nanos + 999_999) / 1_000_000);
  }
}
