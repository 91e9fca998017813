package ashspar.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Where requests wait that find no place. They leave in the order of their worth; among equals the
 * tenant goes first that has been let out least for its share, and of one tenant the request whose
 * deadline comes first (weighted fair queueing by stride, Waldspurger and Weihl 1995). What is over
 * a tenant's share goes last and is turned away first. One in {@link #OLDEST_FIRST_INTERVAL} that
 * leave is the one that has waited longest, so that a stream of worthier ones starves nobody.
 *
 * <p>The room is bounded: beyond {@link #capacity} the least worthy is turned away. How long a
 * request would wait is told by what is ahead of it and by how fast the room has emptied lately.
 *
 * <p>Requests of one class and one tenant share a queue; so do those of all tenants that have no
 * share stated, whose names are whatever clients write. A look at the heads costs time linear in
 * the number of queues that hold something, an entry or an exit O(log n) in the requests of its
 * queue. Times are microseconds. For one thread at a time.
 *
 * @param <T> what waits
 */
public final class WaitingRoom<T> {
  /** Before one who was turned away may come back, at least. */
  private static final long MIN_RETRY_DELAY_MICROS = 100_000;

  /** One in so many goes by its waiting time instead of its worth. */
  public static final int OLDEST_FIRST_INTERVAL = 8;

  /** Time in which what is known of the room's emptying loses all but 1/e of its weight. */
  private static final double EXIT_DECAY_MICROS = 2_000_000;

  /** Least exits, in that time, from which a wait is foretold. */
  private static final double MIN_EXITS_TO_FORECAST = 4;

  /** A request's place in the room. */
  public final class Ticket implements Comparable<Ticket> {
    private final T item;
    private final Queue queue;
    private final long deadline;
    private final long enteredAt;
    private final long order;

    private Ticket(T item, Queue queue, long deadline, long since, long order) {
      this.item = item;
      this.queue = queue;
      this.deadline = deadline;
      this.enteredAt = since;
      this.order = order;
    }

    public T item() {
      return item;
    }

    /** Since when it has waited. */
    public long enteredAt() {
      return enteredAt;
    }

    @Override
    public int compareTo(Ticket other) {
      return deadline != other.deadline
          ? Long.compare(deadline, other.deadline)
          : Long.compare(order, other.order);
    }
  }

  /** What a tenant has been let out for its share: the one with the least goes next. */
  private static final class Pass {
    double value;
  }

  private final class Queue {
    private final QueueKey key;
    private final Pass pass;
    private final TreeSet<Ticket> tickets = new TreeSet<>();

    /** For the look at the heads that is going on: the kind's value, and whether it was asked. */
    private double valueNow;

    private boolean isOverShareNow;
    private boolean offered;

    Queue(QueueKey kind) {
      this.key = kind;
      pass = passes.computeIfAbsent(kind.tenant(), t -> new Pass());
    }

    double currentValue() {
      return WaitingRoom.this.value(key.tenant(), key.value());
    }

    void prepareOffer() {
      isOverShareNow = shares.isOverShare(key.tenant());
      valueNow = isOverShareNow ? key.value() * shares.overShareValue() : key.value();
      offered = false;
    }
  }

  private record QueueKey(String tenant, double value) {}

  private final int capacity;
  private final TenantShares shares;
  private final Map<QueueKey, Queue> queues = new HashMap<>();

  /** The queues that hold something, in the order in which they began to. */
  private final List<Queue> nonEmptyQueues = new ArrayList<>();

  /** By tenants with a share, and one for all others: their number is the settings'. */
  private final Map<String, Pass> passes = new HashMap<>();

  private double currentPass;
  private int size;
  private long nextOrder;
  private int exits;
  private double recentExits;
  private long decayedAt;
  private long busySince = Long.MAX_VALUE;

  /** A room for so many, fair by the shares given. */
  public WaitingRoom(int most, TenantShares shares) {
    if (most < 1) {
      throw new IllegalArgumentException("a waiting room needs a place, not " + most);
    }
    this.capacity = most;
    this.shares = shares;
  }

  public int size() {
    return size;
  }

  /** How many may wait. */
  public int capacity() {
    return capacity;
  }

  /** A request enters; its ticket is the only way to take it out again. */
  public Ticket enter(T item, String tenant, double worth, long deadline, long now) {
    if (size == capacity) {
      throw new IllegalStateException("the room is full: the least worthy goes first");
    }
    decay(now);
    if (size == 0) {
      busySince = now;
    }
    String named = shares.isConfigured(tenant) ? tenant : "";
    Queue queue = queues.computeIfAbsent(new QueueKey(named, worth), Queue::new);
    Ticket ticket = new Ticket(item, queue, deadline, now, nextOrder++);
    if (queue.tickets.isEmpty()) {
      nonEmptyQueues.add(queue);
      // A tenant that has had nothing waiting has saved up no turns meanwhile.
      queue.pass.value = Math.max(queue.pass.value, currentPass);
    }
    queue.tickets.add(ticket);
    size++;
    return ticket;
  }

  /** A request has been let out to its place. */
  public void leavePlaced(Ticket ticket, long now) {
    decay(now);
    recentExits++;
    exits++;
    Pass pass = ticket.queue.pass;
    currentPass = Math.max(currentPass, Math.min(pass.value, currentPass + 1));
    pass.value += 1 / Math.max(1e-3, shares.share(ticket.queue.key.tenant()));
    leave(ticket);
  }

  /** A request leaves without a place: answered, or gone. */
  public void leave(Ticket ticket) {
    if (!ticket.queue.tickets.remove(ticket)) {
      throw new IllegalStateException("the ticket has been used");
    }
    size--;
    if (ticket.queue.tickets.isEmpty()) {
      nonEmptyQueues.remove(ticket.queue);
      queues.remove(ticket.queue.key);
    }
    if (size == 0) {
      busySince = Long.MAX_VALUE;
    }
  }

  /**
   * Offers the heads of the queues, in the order in which they should leave, until one is taken.
   *
   * @param taken takes a request to its place, or says that there is none for it now; at most
   *     {@code tries} are asked
   * @return whether one was taken; it is no longer in the room then
   */
  public boolean offer(Predicate<T> taken, int tries, long now) {
    nonEmptyQueues.forEach(Queue::prepareOffer);
    boolean aged = exits % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1;
    for (int left = Math.min(tries, nonEmptyQueues.size()); left > 0; left--) {
      Queue next = null;
      for (Queue queue : nonEmptyQueues) {
        if (!queue.offered && (next == null || precedes(queue, next, aged))) {
          next = queue;
        }
      }
      aged = false;
      next.offered = true;
      Ticket head = next.tickets.first();
      if (taken.test(head.item)) {
        leavePlaced(head, now);
        return true;
      }
    }
    return false;
  }

  private boolean precedes(Queue a, Queue b, boolean aged) {
    // What is over a share stays last: it is no stream of worthier ones that keeps it waiting.
    if (aged && a.isOverShareNow == b.isOverShareNow) {
      return a.tickets.first().enteredAt < b.tickets.first().enteredAt;
    }
    if (a.valueNow != b.valueNow) {
      return a.valueNow > b.valueNow;
    }
    return a.pass.value != b.pass.value
        ? a.pass.value < b.pass.value
        : a.tickets.first().compareTo(b.tickets.first()) < 0;
  }

  /**
   * Who is to be turned away so that a request of this kind may enter: nobody while there is room,
   * else the one of the least worth that is due last, or the newcomer where nobody is worth less.
   *
   * @return the one that waits and is worth the least, or the newcomer itself; null for nobody
   */
  public T chooseToReject(T newcomer, String tenant, double worth) {
    if (size < capacity) {
      return null;
    }
    Queue least = null;
    for (Queue queue : nonEmptyQueues) {
      if (least == null
          || queue.currentValue() < least.currentValue()
          || (queue.currentValue() == least.currentValue()
              && queue.pass.value > least.pass.value)) {
        least = queue;
      }
    }
    return least.currentValue() < value(tenant, worth) ? least.tickets.last().item : newcomer;
  }

  private double value(String tenant, double worth) {
    return shares.isOverShare(tenant) ? worth * shares.overShareValue() : worth;
  }

  /** After how long one who is turned away may come back, {@code most} at most. */
  public long retryDelay(String tenant, double worth, long now, long most) {
    return Math.min(Math.max(MIN_RETRY_DELAY_MICROS, expectedWait(tenant, worth, now)), most);
  }

  /**
   * How long a request of this kind that comes now would wait, in microseconds: what goes before
   * it, over the rate at which the room has emptied lately. Zero where nothing is known: a forecast
   * that rests on nothing must turn nobody away.
   */
  public long expectedWait(String tenant, double worth, long now) {
    decay(now);
    if (recentExits < MIN_EXITS_TO_FORECAST || now - busySince < EXIT_DECAY_MICROS) {
      return 0;
    }
    double value = value(tenant, worth);
    double ahead = 0;
    for (Queue queue : nonEmptyQueues) {
      if (queue.currentValue() >= value) {
        ahead += queue.tickets.size();
      }
    }
    return (long) (ahead * EXIT_DECAY_MICROS / recentExits);
  }

  private void decay(long now) {
    if (now > decayedAt) {
      recentExits *= Math.exp((decayedAt - now) / EXIT_DECAY_MICROS);
      decayedAt = now;
    }
  }
}
