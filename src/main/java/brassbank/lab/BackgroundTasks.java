package brassbank.lab;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/** Threads for what would wait: each task runs apart and hands its result to the turner. */
final class BackgroundTasks implements AutoCloseable {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** What may wait, and fail. */
  interface Task<T> {
    T run() throws Exception;
  }

  private final RealTimeDriver turner;
  private final ExecutorService threads;

  BackgroundTasks(RealTimeDriver turner) {
    this.turner = turner;
    AtomicInteger number = new AtomicInteger();
    threads =
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "lab-helper-" + number.incrementAndGet());
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Runs a task apart; exactly one of the two is told of its end, on the turner's thread. */
  <T> void submit(Task<T> task, Consumer<T> then, Consumer<Exception> failed) {
    try {
      threads.execute(
          () -> {
            try {
              T result = task.run();
              turner.post(() -> then.accept(result));
            } catch (Exception e) {
              turner.post(() -> failed.accept(e));
            }
          });
    } catch (RejectedExecutionException e) {
      // The lab ends, and nobody waits for this any longer.
    }
  }

  /** Waits on a helper's thread. */
  static void sleep(long millis) {
    LockSupport.parkNanos(millis * NANOS_PER_MILLI);
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }
}
