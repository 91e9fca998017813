package brassbank.lab;

import brassbank.sim.time.Agenda;
import brassbank.sources.Clock;
import brassbank.sources.SystemClock;
import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;

/**
 * Runs the tasks of an agenda when they are due by the monotonic clock, and polls real sockets in
 * between, on the calling thread. Records by how much each task ran late. Only {@link #post} and
 * {@link #nanos} may be called from other threads.
 */
final class RealTimeDriver implements AutoCloseable {
  private static final long NANOS_PER_MICRO = 1_000;

  /** Sockets are polled at least this often, even while tasks of the agenda are due. */
  private static final long MAX_POLL_INTERVAL_MICROS = 1_000;

  /** The selector waits in whole milliseconds, so shorter waits are spent in short parks. */
  private static final long MIN_SELECT_MICROS = 2_000;

  private static final long MAX_SELECT_MILLIS = 20;
  private static final int MAX_IDLE_TASKS_PER_ITERATION = 16;
  private static final long MAX_PARK_NANOS = 60_000;

  /** Receives the readiness events of a channel. */
  interface ReadyHandler {
    void onReady(SelectionKey key);
  }

  private final Agenda agenda;
  private final Lateness lateness;
  private final Clock clock = new SystemClock();
  private final Selector selector;
  private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
  private boolean clockStarted;
  private final Deque<Runnable> idleTasks = new ArrayDeque<>();
  private long originNanos;
  private long lastPollMicros;

  RealTimeDriver(Agenda agenda, Lateness lateness) throws IOException {
    this.agenda = agenda;
    this.lateness = lateness;
    selector = Selector.open();
  }

  /** Starts the clock; the time was 0 until now. */
  void startClock() {
    clockStarted = true;
    originNanos = clock.nanos();
  }

  /** Returns the microseconds since {@link #startClock}. */
  long nowMicros() {
    return (clock.nanos() - originNanos) / NANOS_PER_MICRO;
  }

  /** Returns the monotonic clock, in nanoseconds; from any thread. */
  long nanos() {
    return clock.nanos();
  }

  /** Queues a task for the driver's thread; from any thread. */
  void post(Runnable task) {
    posted.add(task);
    selector.wakeup();
  }

  /** Queues a low-priority task; each iteration runs a limited number. Driver's thread only. */
  void whenIdle(Runnable task) {
    idleTasks.add(task);
  }

  /** Registers a non-blocking channel; the caller closes it. */
  SelectionKey register(SelectableChannel channel, int interest, ReadyHandler handler)
      throws IOException {
    return channel.register(selector, interest, handler);
  }

  /** Polls sockets and posted tasks once while the clock has not started. */
  void pollWithoutClock() throws IOException {
    selector.select(this::dispatch, MAX_SELECT_MILLIS);
    for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
      task.run();
    }
  }

  /** Runs one iteration: all due tasks, then the sockets, with a wait where none is due. */
  void runOnce() throws IOException {
    for (long now = nowMicros(); agenda.nextDue() <= now; now = nowMicros()) {
      long due = agenda.nextDue();
      if (agenda.step(now)) {
        lateness.record(now, Math.max(0, now - due));
      }
      if (now - lastPollMicros > MAX_POLL_INTERVAL_MICROS) {
        poll(0);
      }
    }
    agenda.step(Math.min(nowMicros(), agenda.nextDue() - 1));
    for (int i = 0; i < MAX_IDLE_TASKS_PER_ITERATION && !idleTasks.isEmpty(); i++) {
      idleTasks.remove().run();
    }
    poll(idleTasks.isEmpty() ? agenda.nextDue() - nowMicros() : 0);
  }

  /** Polls sockets and posted tasks, waiting for at most the given time if none is ready. */
  private void poll(long waitMicros) throws IOException {
    if (waitMicros >= MIN_SELECT_MICROS && posted.isEmpty()) {
      selector.select(this::dispatch, Math.min(waitMicros / 1_000 - 1, MAX_SELECT_MILLIS));
    } else if (selector.selectNow(this::dispatch) == 0 && waitMicros > 0 && posted.isEmpty()) {
      LockSupport.parkNanos(Math.min(waitMicros * NANOS_PER_MICRO, MAX_PARK_NANOS));
    }
    lastPollMicros = nowMicros();
    for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
      task.run();
    }
  }

  private void dispatch(SelectionKey key) {
    // A handler that ran earlier in this pass may have closed this channel.
    if (key.isValid()) {
      if (clockStarted) {
        agenda.step(Math.min(nowMicros(), agenda.nextDue() - 1));
      }
      ((ReadyHandler) key.attachment()).onReady(key);
    }
  }

  @Override
  public void close() throws IOException {
    idleTasks.forEach(Runnable::run);
    selector.close();
  }
}
