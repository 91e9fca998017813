package ashspar.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queues requests until a server has capacity. Requests leave in the order of their value. Among
 * equal values, the tenant that was served least relative to its share goes first, and within a
 * tenant the request with the earliest deadline (weighted fair queueing by stride scheduling,
 * Waldspurger and Weihl 1995). Requests over a tenant's share go last and are rejected first. One
 * of every {@link #OLDEST_FIRST_INTERVAL} departures is the request that has waited longest, so
 * that a stream of more valuable ones starves no request.
 *
 * <p>The capacity is bounded: beyond {@link #capacity} the least valuable request is rejected. The
 * expected wait of a request follows from the number of requests ahead of it and the recent rate of
 * departures.
 *
 * <p>Requests with the same value and tenant share a queue, and so do the requests of all tenants
 * without a configured share, whose names are arbitrary text from clients. An offer takes time
 * linear in the number of non-empty queues; entering and leaving takes O(log n) in the length of
 * the queue. Times are microseconds. Not thread-safe.
 *
 * @param <T> the type of the queued items
 */
public final class WaitingRoom<T> {
  /** The lower bound of the retry delay for a rejected request. */
  private static final long MIN_RETRY_DELAY_MICROS = 100_000;

  /** Each departure of this number is chosen by waiting time instead of value. */
  public static final int OLDEST_FIRST_INTERVAL = 8;

  /** The time in which the weight of past departures decays to 1/e. */
  private static final double EXIT_DECAY_MICROS = 2_000_000;

  /** The number of decayed departures from which waits are forecast. */
  private static final double MIN_EXITS_TO_FORECAST = 4;

  /** The position of a request in the room. */
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

    /** Returns the queued request. */
    public T item() {
      return item;
    }

    /** Returns the time at which the request entered. */
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

  /**
   * The service that a tenant has received relative to its share; the tenant with the lowest pass
   * goes next.
   */
  private static final class Pass {
    double value;
  }

  private final class Queue {
    private final QueueKey key;
    private final Pass pass;
    private final TreeSet<Ticket> tickets = new TreeSet<>();

    /**
     * State of the current offer: the value of the requests, and whether the head was already
     * offered.
     */
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

  /** The non-empty queues, in the order in which they became non-empty. */
  private final List<Queue> nonEmptyQueues = new ArrayList<>();

  /** The passes of the configured tenants and one for all others, which bounds their number. */
  private final Map<String, Pass> passes = new HashMap<>();

  private double currentPass;
  private int size;
  private long nextOrder;
  private int exits;
  private double recentExits;
  private long decayedAt;
  private long busySince = Long.MAX_VALUE;

  /** Creates a room with this capacity that is fair by the given shares. */
  public WaitingRoom(int capacity, TenantShares shares) {
    if (capacity < 1) {
      throw new IllegalArgumentException("the capacity must be at least 1, not " + capacity);
    }
    this.capacity = capacity;
    this.shares = shares;
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return size;
  }

  /** Returns how many requests may wait. */
  public int capacity() {
    return capacity;
  }

  /**
   * Adds a request. The returned ticket is needed to remove it.
   *
   * @throws IllegalStateException if the room is full
   */
  public Ticket enter(T item, String tenant, double value, long deadline, long now) {
    if (size == capacity) {
      throw new IllegalStateException("the waiting room is full; a request must be rejected first");
    }
    decay(now);
    if (size == 0) {
      busySince = now;
    }
    String tenantKey = shares.isConfigured(tenant) ? tenant : "";
    Queue queue = queues.computeIfAbsent(new QueueKey(tenantKey, value), Queue::new);
    Ticket ticket = new Ticket(item, queue, deadline, now, nextOrder++);
    if (queue.tickets.isEmpty()) {
      nonEmptyQueues.add(queue);
      // A tenant does not accumulate credit while it has no waiting requests.
      queue.pass.value = Math.max(queue.pass.value, currentPass);
    }
    queue.tickets.add(ticket);
    size++;
    return ticket;
  }

  /** Removes a request that was sent to a server. */
  public void leavePlaced(Ticket ticket, long now) {
    decay(now);
    recentExits++;
    exits++;
    Pass pass = ticket.queue.pass;
    currentPass = Math.max(currentPass, Math.min(pass.value, currentPass + 1));
    pass.value += 1 / Math.max(1e-3, shares.share(ticket.queue.key.tenant()));
    leave(ticket);
  }

  /**
   * Removes a request that was answered or whose client disconnected.
   *
   * @throws IllegalStateException if it was already removed
   */
  public void leave(Ticket ticket) {
    if (!ticket.queue.tickets.remove(ticket)) {
      throw new IllegalStateException("the ticket was already removed");
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
   * Offers the heads of the queues in the order of departure until one is accepted.
   *
   * @param accept tries to place a request; returns false if no server has capacity
   * @param tries the maximum number of heads to offer
   * @return whether a request was accepted, which removes it from the room
   */
  public boolean offer(Predicate<T> accept, int tries, long now) {
    nonEmptyQueues.forEach(Queue::prepareOffer);
    boolean isOldestFirst = exits % OLDEST_FIRST_INTERVAL == OLDEST_FIRST_INTERVAL - 1;
    for (int left = Math.min(tries, nonEmptyQueues.size()); left > 0; left--) {
      Queue next = null;
      for (Queue queue : nonEmptyQueues) {
        if (!queue.offered && (next == null || precedes(queue, next, isOldestFirst))) {
          next = queue;
        }
      }
      isOldestFirst = false;
      next.offered = true;
      Ticket head = next.tickets.first();
      if (accept.test(head.item)) {
        leavePlaced(head, now);
        return true;
      }
    }
    return false;
  }

  /** Returns whether the head of queue {@code a} departs before that of {@code b}. */
  private boolean precedes(Queue a, Queue b, boolean isOldestFirst) {
    // Requests over a share stay last: they are not starved by more valuable ones but by their own
    // tenant.
    if (isOldestFirst && a.isOverShareNow == b.isOverShareNow) {
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
   * Chooses the request to reject so that a new one may enter: none while there is capacity,
   * otherwise the least valuable one with the latest deadline, or the new one if no request is less
   * valuable.
   *
   * @return the request to reject, possibly {@code newcomer}; null if none
   */
  public T chooseToReject(T newcomer, String tenant, double value) {
    if (size < capacity) {
      return null;
    }
    Queue leastValuable = null;
    for (Queue queue : nonEmptyQueues) {
      if (leastValuable == null
          || queue.currentValue() < leastValuable.currentValue()
          || (queue.currentValue() == leastValuable.currentValue()
              && queue.pass.value > leastValuable.pass.value)) {
        leastValuable = queue;
      }
    }
    return leastValuable.currentValue() < value(tenant, value)
        ? leastValuable.tickets.last().item
        : newcomer;
  }

  private double value(String tenant, double value) {
    return shares.isOverShare(tenant) ? value * shares.overShareValue() : value;
  }

  /** Returns the delay after which a rejected client may retry, at most {@code max}. */
  public long retryDelay(String tenant, double value, long now, long max) {
    return Math.min(Math.max(MIN_RETRY_DELAY_MICROS, expectedWait(tenant, value, now)), max);
  }

  /**
   * Returns the expected wait of a new request in microseconds: the number of requests ahead of it
   * divided by the recent rate of departures. Returns 0 if there is too little data, since a
   * forecast without data must not reject requests.
   */
  public long expectedWait(String tenant, double value, long now) {
    decay(now);
    if (recentExits < MIN_EXITS_TO_FORECAST || now - busySince < EXIT_DECAY_MICROS) {
      return 0;
    }
    double newValue = value(tenant, value);
    double ahead = 0;
    for (Queue queue : nonEmptyQueues) {
      if (queue.currentValue() >= newValue) {
        ahead += queue.tickets.size();
      }
    }
    return (long) (ahead * EXIT_DECAY_MICROS / recentExits);
  }

  /** Decays the count of recent departures to the current time. */
  private void decay(long now) {
    if (now > decayedAt) {
      recentExits *= Math.exp((decayedAt - now) / EXIT_DECAY_MICROS);
      decayedAt = now;
    }
  }
}
