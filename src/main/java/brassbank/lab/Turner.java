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
 * Turns an agenda by the monotonic clock, and real sockets beside it, on the calling thread. How
 * late each task of the agenda ran is measured. Only {@link #post} and {@link #nanos} may be called
 * from other threads.
 */
final class Turner implements AutoCloseable {
  private static final long NANOS_PER_MICRO = 1_000;

  /** Sockets are looked at this often at least, in microseconds, however much is due. */
  private static final long LOOK_AT_SOCKETS = 1_000;

  /** The selector waits in whole milliseconds: shorter waits are slept in parts. */
  private static final long SHORTEST_SELECT = 2_000;

  private static final long LONGEST_SELECT_MILLIS = 20;
  private static final int IDLE_AT_ONCE = 16;
  private static final long NAP_NANOS = 60_000;

  /** Who is told what a socket is ready for. */
  interface Ready {
    void ready(SelectionKey key);
  }

  private final Agenda agenda;
  private final Lateness lateness;
  private final Clock clock = new SystemClock();
  private final Selector selector;
  private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
  private boolean begun;
  private final Deque<Runnable> idle = new ArrayDeque<>();
  private long origin;
  private long lookedAt;

  Turner(Agenda agenda, Lateness lateness) throws IOException {
    this.agenda = agenda;
    this.lateness = lateness;
    selector = Selector.open();
  }

  /** From here on time goes by; it was 0 until now. */
  void begin() {
    begun = true;
    origin = clock.nanos();
  }

  /** Microseconds since {@link #begin}. */
  long now() {
    return (clock.nanos() - origin) / NANOS_PER_MICRO;
  }

  /** The monotonic clock; from any thread. */
  long nanos() {
    return clock.nanos();
  }

  /** Runs a task on the turner's thread, soon; from any thread. */
  void post(Runnable task) {
    posted.add(task);
    selector.wakeup();
  }

  /** Runs a task of the turner's thread when there is time, a few in a turn. */
  void whenIdle(Runnable task) {
    idle.add(task);
  }

  /** The channel must not block; whoever registers it closes it. */
  SelectionKey register(SelectableChannel channel, int interest, Ready ready) throws IOException {
    return channel.register(selector, interest, ready);
  }

  /** Tells of sockets and posted tasks while time has not begun; one look. */
  void lookOnly() throws IOException {
    selector.select(this::tell, LONGEST_SELECT_MILLIS);
    for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
      task.run();
    }
  }

  /** One turn: all that is due, then the sockets, with a wait where nothing is to be done. */
  void turn() throws IOException {
    for (long now = now(); agenda.nextDue() <= now; now = now()) {
      long due = agenda.nextDue();
      if (agenda.step(now)) {
        lateness.ran(now, Math.max(0, now - due));
      }
      if (now - lookedAt > LOOK_AT_SOCKETS) {
        look(0);
      }
    }
    agenda.step(Math.min(now(), agenda.nextDue() - 1));
    for (int i = 0; i < IDLE_AT_ONCE && !idle.isEmpty(); i++) {
      idle.remove().run();
    }
    look(idle.isEmpty() ? agenda.nextDue() - now() : 0);
  }

  private void look(long waitMicros) throws IOException {
    if (waitMicros >= SHORTEST_SELECT && posted.isEmpty()) {
      selector.select(this::tell, Math.min(waitMicros / 1_000 - 1, LONGEST_SELECT_MILLIS));
    } else if (selector.selectNow(this::tell) == 0 && waitMicros > 0 && posted.isEmpty()) {
      LockSupport.parkNanos(Math.min(waitMicros * NANOS_PER_MICRO, NAP_NANOS));
    }
    lookedAt = now();
    for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
      task.run();
    }
  }

  private void tell(SelectionKey key) {
    // What is told first may have ended what is told now.
    if (key.isValid()) {
      if (begun) {
        agenda.step(Math.min(now(), agenda.nextDue() - 1));
      }
      ((Ready) key.attachment()).ready(key);
    }
  }

  @Override
  public void close() throws IOException {
    idle.forEach(Runnable::run);
    selector.close();
  }
}
