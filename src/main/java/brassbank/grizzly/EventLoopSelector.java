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

/** Grizzly's selector loop with the project's timers and tasks in it, on the selector thread. */
final class EventLoopSelector extends DefaultSelectorHandler {
  private static final long MAX_SELECT_MILLIS = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** How long events may follow one another before timers and tasks have their turn. */
  private static final long MAX_EVENT_BATCH_NANOS = 500_000;

  /**
   * The keys of one turn. The selector's own set of them is a hash table, which keeps the size of
   * the largest crowd that it ever held and is walked through and cleared in full at each turn.
   */
  private static final class ReadyKeys extends AbstractSet<SelectionKey>
      implements Consumer<SelectionKey>, Iterator<SelectionKey> {
    private final List<SelectionKey> keys = new ArrayList<>();

    /** What is ready and none of Grizzly's; null while there was none, as on the platform. */
    private List<Runnable> others;

    private int first;
    private int next;

    /** Called by the selector, once for each key. */
    @Override
    public void accept(SelectionKey key) {
      if (key.attachment() instanceof Connection<?> connection && PRIORITIZED.isSet(connection)) {
        keys.add(first++, key);
      } else if (key.attachment() instanceof Runnable other) {
        others = others == null ? new ArrayList<>() : others;
        others.add(other);
      } else {
        keys.add(key);
      }
    }

    /** The same one each time: a turn walks through its keys once, and there are many turns. */
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
      first = 0;
    }
  }

  private static final Attribute<Boolean> PRIORITIZED =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("brassbank.first");

  private final Clock clock;
  private final ReadyKeys ready = new ReadyKeys();
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private volatile EventLoop loop;
  private volatile Selector selector;

  /** When timers and tasks last had their turn. */
  private long lastRunNanos;

  EventLoopSelector(Clock clock) {
    this.clock = clock;
  }

  /** Has the connection's events go before the others of a turn. */
  static void prioritize(Connection<?> connection) {
    PRIORITIZED.set(connection, true);
  }

  /** To be called before the selector's first turn. */
  void loop(EventLoop turned) {
    loop = turned;
  }

  /**
   * Has the task run whenever the channel can be read, on the selector thread; to be called there.
   */
  SelectionKey register(SelectableChannel channel, Runnable readable) throws IOException {
    return channel.register(selector, SelectionKey.OP_READ, readable);
  }

  /** Runs the task once this turn's events are through; any thread may call. */
  void execute(Runnable task) {
    tasks.add(task);
    Selector waiting = selector;
    if (waiting != null) {
      waiting.wakeup();
    }
  }

  @Override
  public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
    // Set before the look at the tasks: one that comes after the look wakes this selector up.
    selector = runner.getSelector();
    long wait = tasks.isEmpty() ? millisToNextTimer() : 0;
    ready.clear();
    if (wait <= 0 || !runner.getPostponedTasks().isEmpty()) {
      selector.selectNow(ready);
    } else {
      selector.select(ready, wait);
    }
    if (ready.others != null) {
      ready.others.forEach(EventLoop::runGuarded);
      ready.others.clear();
    }
    return ready;
  }

  /**
   * To be called before each event of a channel: where many have something to tell in one turn of
   * the selector, timers and tasks do not wait for the last of them.
   */
  void beforeEvent() {
    if (clock.nanos() - lastRunNanos >= MAX_EVENT_BATCH_NANOS) {
      runTasksAndTimers();
    }
  }

  @Override
  public void postSelect(SelectorRunner runner) {
    runTasksAndTimers();
  }

  private void runTasksAndTimers() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      EventLoop.runGuarded(task);
    }
    loop.runDueTimers();
    lastRunNanos = clock.nanos();
  }

  /** Rounded up: a wait that ends before its time would only be begun again. */
  private long millisToNextTimer() {
    long due = loop.nextDeadlineNanos();
    if (due == Long.MAX_VALUE) {
      return MAX_SELECT_MILLIS;
    }
    long nanos = due - clock.nanos();
    return Math.min(MAX_SELECT_MILLIS, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }
}
