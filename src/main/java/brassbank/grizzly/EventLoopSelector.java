package brassbank.grizzly;

import brassbank.net.EventLoop;
import brassbank.sources.Clock;
import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/** Grizzly's selector handler, extended to run the timers and tasks of the event loop. */
final class EventLoopSelector extends DefaultSelectorHandler {
  private static final long MAX_SELECT_MILLIS = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** How long events are processed in a row before due timers and tasks run. */
  private static final long MAX_EVENT_BATCH_NANOS = 500_000;

  /**
   * The selected keys of one loop iteration. The selector's own set is a hash table, which never
   * shrinks below the largest number of keys it ever held and is traversed and cleared completely
   * in each iteration.
   */
  private static final class ReadyKeys extends AbstractSet<SelectionKey>
      implements Consumer<SelectionKey>, Iterator<SelectionKey> {
    private final List<SelectionKey> keys = new ArrayList<>();

    /**
     * Callbacks of ready channels that Grizzly does not manage (datagrams); null until the first
     * one, since a proxy without datagrams has none.
     */
    private List<Runnable> callbacks;

    private int prioritizedCount;
    private int next;

    /** Receives each ready key from the selector. */
    @Override
    public void accept(SelectionKey key) {
      if (key.attachment() instanceof Connection<?> connection && PRIORITIZED.isSet(connection)) {
        keys.add(prioritizedCount++, key);
      } else if (key.attachment() instanceof Runnable callback) {
        callbacks = callbacks == null ? new ArrayList<>() : callbacks;
        callbacks.add(callback);
      } else {
        keys.add(key);
      }
    }

    /**
     * Returns the same iterator each time, to avoid an allocation per loop iteration: the keys are
     * traversed once in each.
     */
    @Override
    public Iterator<SelectionKey> iterator() {
      next = 0;
      return this;
    }

    @Override
    public boolean hasNext() {
      return next < keys.size();
    }

    @Override
    public SelectionKey next() {
      if (next == keys.size()) {
        throw new NoSuchElementException();
      }
      return keys.get(next++);
    }

    @Override
    public int size() {
      return keys.size();
    }

    @Override
    public void clear() {
      keys.clear();
      prioritizedCount = 0;
    }
  }

  private static final Attribute<Boolean> PRIORITIZED =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("brassbank.first");

  private final Clock clock;
  private final ReadyKeys ready = new ReadyKeys();
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private volatile EventLoop loop;
  private volatile Selector selector;

  /** When timers and tasks last ran. */
  private long lastRunNanos;

  EventLoopSelector(Clock clock) {
    this.clock = clock;
  }

  /** Lets the connection's events precede the other events of a loop iteration. */
  static void prioritize(Connection<?> connection) {
    PRIORITIZED.set(connection, true);
  }

  /** Sets the event loop; must be called before the selector's first iteration. */
  void loop(EventLoop eventLoop) {
    loop = eventLoop;
  }

  /**
   * Registers a callback to run on the selector thread whenever the channel is readable. Must be
   * called on that thread.
   */
  SelectionKey register(SelectableChannel channel, Runnable readable) throws IOException {
    return channel.register(selector, SelectionKey.OP_READ, readable);
  }

  /** Runs the task after the events of the current loop iteration; any thread may call. */
  void execute(Runnable task) {
    tasks.add(task);
    Selector current = selector;
    if (current != null) {
      current.wakeup();
    }
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    try {
      return selectReadyKeys(runner);
    } catch (OutOfMemoryError e) {
      MemoryExhaustion.endProcess(e);
      throw e;
    }
  }

  private Set<SelectionKey> selectReadyKeys(SelectorRunner runner) throws IOException {
    // Set before checking for tasks: a task added after the check then wakes this selector up.
    selector = runner.getSelector();
    long wait = tasks.isEmpty() ? millisToNextTimer() : 0;
    ready.clear();
    if (wait <= 0 || !runner.getPostponedTasks().isEmpty()) {
      selector.selectNow(ready);
    } else {
      selector.select(ready, wait);
    }
    if (ready.callbacks != null) {
      ready.callbacks.forEach(EventLoop::runGuarded);
      ready.callbacks.clear();
    }
    return ready;
  }

  /**
   * Runs due timers and tasks if events have been processed for too long. Called before each event
   * of a channel, so that timers do not wait for all events of a large loop iteration.
   */
  void beforeEvent() {
    if (clock.nanos() - lastRunNanos >= MAX_EVENT_BATCH_NANOS) {
      runTasksAndTimers();
    }
  }

  @Override
  public void postSelect(SelectorRunner runner) {
    try {
      runTasksAndTimers();
    } catch (OutOfMemoryError e) {
      MemoryExhaustion.endProcess(e);
    }
  }

  private void runTasksAndTimers() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      EventLoop.runGuarded(task);
    }
    loop.runDueTimers();
    lastRunNanos = clock.nanos();
  }

  /**
   * Returns the wait until the next timer, rounded up: a shorter wait would have to be repeated.
   */
  private long millisToNextTimer() {
    long due = loop.nextDeadlineNanos();
    if (due == Long.MAX_VALUE) {
      return MAX_SELECT_MILLIS;
    }
    long nanos = due - clock.nanos();
    return Math.min(MAX_SELECT_MILLIS, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }
}
