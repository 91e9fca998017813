package brassbank.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * An event loop: one daemon thread with a selector and timers. The methods {@link #call}, {@link
 * #run}, {@link #listen}, {@link #failure} and {@link #close} may be called on other threads;
 * everything else only on the event-loop thread, except for the static {@link #nanoTime}.
 */
final class Reactor implements AutoCloseable {
  /**
   * For a task due sooner than this the thread polls, since a selector's wait is in milliseconds.
   */
  private static final long SPIN_THRESHOLD_NANOS = 1_500_000;

  private static final long MAX_WAIT_NANOS = 1_000_000_000;
  private static final int READ_BUFFER_BYTES = 64 * 1024;
  private static final int BACKLOG = 1024;

  /** A task that must run at exact times, to the microsecond. */
  interface PreciseTask {
    /**
     * Does the work that is due.
     *
     * @param now the current {@link Reactor#nanoTime}
     * @return the nanoseconds from {@code now} until the next run
     */
    long runDue(long now);
  }

  /** A task that runs once, unless it is cancelled before. */
  static final class Timer {
    private final long dueNanos;
    private Runnable task;

    private Timer(long dueNanos, Runnable task) {
      this.dueNanos = dueNanos;
      this.task = task;
    }

    void cancel() {
      task = null;
    }
  }

  private final Selector selector;
  private final Thread thread;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>((a, b) -> Long.compare(a.dueNanos - b.dueNanos, 0));
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
  private PreciseTask preciseTask;
  private volatile boolean closed;
  private volatile Throwable failure;

  Reactor(String name) {
    try {
      selector = Selector.open();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns nanoseconds since an arbitrary fixed origin; all times of the tool come from here. */
  static long nanoTime() {
    return System.nanoTime();
  }

  /**
   * Runs a task on the event-loop thread and blocks until it has finished.
   *
   * @return the result of the task
   * @throws LoadException if the task failed, with its exception as the cause, or if the event loop
   *     has stopped
   */
  <T> T call(Callable<T> task) {
    CompletableFuture<T> result = new CompletableFuture<>();
    tasks.add(
        () -> {
          try {
            result.complete(task.call());
          } catch (Exception | AssertionError e) {
            result.completeExceptionally(e);
          }
        });
    selector.wakeup();
    try {
      while (true) {
        try {
          return result.get(MAX_WAIT_NANOS, TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
          if (!thread.isAlive()) {
            throw new LoadException(
                "the event loop of the load tool has stopped: " + failure, failure);
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new LoadException("interrupted", e);
    } catch (ExecutionException e) {
      throw new LoadException(e.getCause().getMessage(), e.getCause());
    }
  }

  /** Like {@link #call}, for a task without a result. */
  void run(Runnable task) {
    call(
        () -> {
          task.run();
          return null;
        });
  }

  /** Schedules a task to run once after a delay. Must be called on the event-loop thread. */
  Timer schedule(long delayNanos, Runnable task) {
    Timer timer = new Timer(nanoTime() + delayNanos, task);
    timers.add(timer);
    return timer;
  }

  /** Replaces the precise task; null removes it. */
  void setPreciseTask(PreciseTask task) {
    preciseTask = task;
  }

  /**
   * Listens for connections, each of which gets a new handler.
   *
   * @param at the address; port 0 selects a free port
   * @return the address with the actual port
   */
  InetSocketAddress listen(InetSocketAddress at, Supplier<Connection.Handler> handlers) {
    return call(
        () -> {
          ServerSocketChannel server = ServerSocketChannel.open();
          server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
          server.bind(at, BACKLOG);
          server.configureBlocking(false);
          server.register(selector, SelectionKey.OP_ACCEPT, handlers);
          return (InetSocketAddress) server.getLocalAddress();
        });
  }

  /**
   * Opens a connection. The handler is notified when it is connected or when it has failed.
   *
   * @param receiveBufferBytes the size of the kernel's receive buffer, or 0 for the system's
   *     default
   */
  Connection connect(InetSocketAddress to, Connection.Handler handler, int receiveBufferBytes)
      throws IOException {
    SocketChannel channel = SocketChannel.open();
    if (receiveBufferBytes > 0) {
      channel.setOption(StandardSocketOptions.SO_RCVBUF, receiveBufferBytes);
    }
    channel.configureBlocking(false);
    Connection connection = register(channel, handler);
    if (channel.connect(to)) {
      connection.connected();
    }
    return connection;
  }

  private Connection register(SocketChannel channel, Connection.Handler handler)
      throws IOException {
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    Connection connection = new Connection(this, channel, handler);
    connection.setKey(channel.register(selector, 0, connection));
    return connection;
  }

  /** Returns the cleared buffer that all connections of this reactor share for reading. */
  ByteBuffer readBuffer() {
    return readBuffer.clear();
  }

  private void run() {
    try {
      while (!closed) {
        runOnce();
      }
    } catch (IOException | RuntimeException | Error e) {
      failure = e;
    }
    for (SelectionKey key : selector.keys()) {
      try {
        key.channel().close();
      } catch (IOException e) {
        // The descriptor is released even if close fails.
      }
    }
    try {
      selector.close();
    } catch (IOException e) {
      // The descriptor is released even if close fails.
    }
  }

  private void runOnce() throws IOException {
    long waitNanos = preciseTask == null ? MAX_WAIT_NANOS : preciseTask.runDue(nanoTime());
    boolean isTaskDueSoon = waitNanos < SPIN_THRESHOLD_NANOS;
    while (!timers.isEmpty() && timers.peek().task == null) {
      timers.poll();
    }
    if (!timers.isEmpty()) {
      waitNanos = Math.min(waitNanos, timers.peek().dueNanos - nanoTime() + 999_999);
    }
    if (isTaskDueSoon || waitNanos < 1_000_000 || !tasks.isEmpty()) {
      selector.selectNow(this::handleReady);
    } else {
      selector.select(this::handleReady, waitNanos / 1_000_000);
    }
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      task.run();
    }
    long now = nanoTime();
    while (!timers.isEmpty() && timers.peek().dueNanos - now <= 0) {
      Runnable task = timers.poll().task;
      if (task != null) {
        task.run();
      }
    }
  }

  private void handleReady(SelectionKey key) {
    if (key.attachment() instanceof Connection connection) {
      connection.handleReady();
    } else {
      accept(key);
    }
  }

  @SuppressWarnings("unchecked")
  private void accept(SelectionKey key) {
    try {
      ServerSocketChannel server = (ServerSocketChannel) key.channel();
      for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
        channel.configureBlocking(false);
        register(channel, ((Supplier<Connection.Handler>) key.attachment()).get()).connected();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the exception that stopped the event loop, or null. */
  Throwable failure() {
    return failure;
  }

  /** Stops the event loop, closes all its connections and waits for the thread to end. */
  @Override
  public void close() {
    closed = true;
    selector.wakeup();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
