package brassbank.lab;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/** Runs blocking tasks on daemon threads and posts their results to the driver's thread. */
final class BackgroundTasks implements AutoCloseable {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A task that may block and throw. */
  interface Task<T> {
    T run() throws Exception;
  }

  private final RealTimeDriver driver;
  private final ExecutorService threads;

  BackgroundTasks(RealTimeDriver driver) {
    this.driver = driver;
    AtomicInteger number = new AtomicInteger();
    threads =
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "lab-helper-" + number.incrementAndGet());
              thread.setDaemon(true);
              return thread;
            });
  }

  /**
   * Runs a task on a background thread, then exactly one of the two callbacks on the driver's
   * thread; neither once this object is closed.
   */
  <T> void submit(Task<T> task, Consumer<T> then, Consumer<Exception> failed) {
    try {
      threads.execute(
          () -> {
            try {
              T result = task.run();
              driver.post(() -> then.accept(result));
            } catch (Exception e) {
              driver.post(() -> failed.accept(e));
            }
          });
    } catch (RejectedExecutionException e) {
      // The lab is closing: the result is no longer needed.
    }
  }

  /** Blocks the calling thread, which must not be the driver's. */
  static void sleep(long millis) {
    LockSupport.parkNanos(millis * NANOS_PER_MILLI);
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }
}
