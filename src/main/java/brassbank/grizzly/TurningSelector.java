package brassbank.grizzly;

import brassbank.net.Loop;
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
final class TurningSelector extends DefaultSelectorHandler {
  private static final long LONGEST_WAIT_MILLIS = 1_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** How long events may follow one another before timers and tasks have their turn. */
  private static final long LONGEST_TURN_NANOS = 500_000;

  /**
   * The keys of one turn. The selector's own set of them is a hash table, which keeps the size of
   * the largest crowd that it ever held and is walked through and cleared in full at each turn.
   */
  private static final class Ready extends AbstractSet<SelectionKey>
      implements Consumer<SelectionKey>, Iterator<SelectionKey> {
    private final List<SelectionKey> keys = new ArrayList<>();

    /** What is ready and none of Grizzly's; null while there was none, as on the platform. */
    private List<Runnable> others;

    private int first;
    private int next;

    /** Called by the selector, once for each key. */
    @Override
    public void accept(SelectionKey key) {
      if (key.attachment() instanceof Connection<?> connection && FIRST.isSet(connection)) {
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

  private static final Attribute<Boolean> FIRST =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("brassbank.first");

  private final Clock clock;
  private final Ready ready = new Ready();
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private volatile Loop loop;
  private volatile Selector selector;

  /** When timers and tasks last had their turn. */
  private long turnedAt;

  TurningSelector(Clock clock) {
    this.clock = clock;
  }

  /** Has the connection's events go before the others of a turn. */
  static void putFirst(Connection<?> connection) {
    FIRST.set(connection, true);
  }

  /** To be called before the selector's first turn. */
  void loop(Loop turned) {
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
    long wait = tasks.isEmpty() ? millisToNext() : 0;
    ready.clear();
    if (wait <= 0 || !runner.getPostponedTasks().isEmpty()) {
      selector.selectNow(ready);
    } else {
      selector.select(ready, wait);
    }
    if (ready.others != null) {
      ready.others.forEach(Loop::guarded);
      ready.others.clear();
    }
    return ready;
  }

  /**
   * To be called before each event of a channel: where many have something to tell in one turn of
   * the selector, timers and tasks do not wait for the last of them.
   */
  void beforeEvent() {
    if (clock.nanos() - turnedAt >= LONGEST_TURN_NANOS) {
      turn();
    }
  }

  @Override
  public void postSelect(SelectorRunner runner) {
    turn();
  }

  private void turn() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      Loop.guarded(task);
    }
    loop.runDue();
    turnedAt = clock.nanos();
  }

  /** Rounded up: a wait that ends before its time would only be begun again. */
  private long millisToNext() {
    long due = loop.nextDue();
    if (due == Long.MAX_VALUE) {
      return LONGEST_WAIT_MILLIS;
    }
    long nanos = due - clock.nanos();
    return Math.min(LONGEST_WAIT_MILLIS, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }
}
