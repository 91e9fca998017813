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
 * a tenant's share goes last and is turned away first. One in {@link #AGED} that leave is the one
 * that has waited longest, so that a stream of worthier ones starves nobody.
 *
 * <p>The room is bounded: beyond {@link #most} the least worthy is turned away. How long a request
 * would wait is told by what is ahead of it and by how fast the room has emptied lately.
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
  private static final long LEAST_HOLD = 100_000;

  /** One in so many goes by its waiting time instead of its worth. */
  public static final int AGED = 8;

  /** Time in which what is known of the room's emptying loses all but 1/e of its weight. */
  private static final double FORGET = 2_000_000;

  /** Least exits, in that time, from which a wait is foretold. */
  private static final double FORETELL = 4;

  /** A request's place in the room. */
  public final class Ticket implements Comparable<Ticket> {
    private final T item;
    private final Queue queue;
    private final long deadline;
    private final long since;
    private final long order;

    private Ticket(T item, Queue queue, long deadline, long since, long order) {
      this.item = item;
      this.queue = queue;
      this.deadline = deadline;
      this.since = since;
      this.order = order;
    }

    public T item() {
      return item;
    }

    /** Since when it has waited. */
    public long since() {
      return since;
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
    double at;
  }

  private final class Queue {
    private final Kind kind;
    private final Pass pass;
    private final TreeSet<Ticket> tickets = new TreeSet<>();

    /** For the look at the heads that is going on: the kind's value, and whether it was asked. */
    private double valueNow;

    private boolean overNow;
    private boolean asked;

    Queue(Kind kind) {
      this.kind = kind;
      pass = passes.computeIfAbsent(kind.tenant(), t -> new Pass());
    }

    double value() {
      return WaitingRoom.this.value(kind.tenant(), kind.worth());
    }

    void look() {
      overNow = shares.over(kind.tenant());
      valueNow = overNow ? kind.worth() * shares.overWorth() : kind.worth();
      asked = false;
    }
  }

  private record Kind(String tenant, double worth) {}

  private final int most;
  private final TenantShares shares;
  private final Map<Kind, Queue> queues = new HashMap<>();

  /** The queues that hold something, in the order in which they began to. */
  private final List<Queue> filled = new ArrayList<>();

  /** By tenants with a share, and one for all others: their number is the settings'. */
  private final Map<String, Pass> passes = new HashMap<>();

  private double passNow;
  private int size;
  private long orders;
  private int exits;
  private double recentExits;
  private long recentAt;
  private long busySince = Long.MAX_VALUE;

  /** A room for so many, fair by the shares given. */
  public WaitingRoom(int most, TenantShares shares) {
    if (most < 1) {
      throw new IllegalArgumentException("a waiting room needs a place, not " + most);
    }
    this.most = most;
    this.shares = shares;
  }

  public int size() {
    return size;
  }

  /** How many may wait. */
  public int most() {
    return most;
  }

  /** A request enters; its ticket is the only way to take it out again. */
  public Ticket enter(T item, String tenant, double worth, long deadline, long now) {
    if (size == most) {
      throw new IllegalStateException("the room is full: the least worthy goes first");
    }
    fade(now);
    if (size == 0) {
      busySince = now;
    }
    String named = shares.known(tenant) ? tenant : "";
    Queue queue = queues.computeIfAbsent(new Kind(named, worth), Queue::new);
    Ticket ticket = new Ticket(item, queue, deadline, now, orders++);
    if (queue.tickets.isEmpty()) {
      filled.add(queue);
      // A tenant that has had nothing waiting has saved up no turns meanwhile.
      queue.pass.at = Math.max(queue.pass.at, passNow);
    }
    queue.tickets.add(ticket);
    size++;
    return ticket;
  }

  /** A request has been let out to its place. */
  public void placed(Ticket ticket, long now) {
    fade(now);
    recentExits++;
    exits++;
    Pass pass = ticket.queue.pass;
    passNow = Math.max(passNow, Math.min(pass.at, passNow + 1));
    pass.at += 1 / Math.max(1e-3, shares.share(ticket.queue.kind.tenant()));
    leave(ticket);
  }

  /** A request leaves without a place: answered, or gone. */
  public void leave(Ticket ticket) {
    if (!ticket.queue.tickets.remove(ticket)) {
      throw new IllegalStateException("the ticket has been used");
    }
    size--;
    if (ticket.queue.tickets.isEmpty()) {
      filled.remove(ticket.queue);
      queues.remove(ticket.queue.kind);
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
    filled.forEach(Queue::look);
    boolean aged = exits % AGED == AGED - 1;
    for (int left = Math.min(tries, filled.size()); left > 0; left--) {
      Queue next = null;
      for (Queue queue : filled) {
        if (!queue.asked && (next == null || before(queue, next, aged))) {
          next = queue;
        }
      }
      aged = false;
      next.asked = true;
      Ticket head = next.tickets.first();
      if (taken.test(head.item)) {
        placed(head, now);
        return true;
      }
    }
    return false;
  }

  private boolean before(Queue a, Queue b, boolean aged) {
    // What is over a share stays last: it is no stream of worthier ones that keeps it waiting.
    if (aged && a.overNow == b.overNow) {
      return a.tickets.first().since < b.tickets.first().since;
    }
    if (a.valueNow != b.valueNow) {
      return a.valueNow > b.valueNow;
    }
    return a.pass.at != b.pass.at
        ? a.pass.at < b.pass.at
        : a.tickets.first().compareTo(b.tickets.first()) < 0;
  }

  /**
   * Who is to be turned away so that a request of this kind may enter: nobody while there is room,
   * else the one of the least worth that is due last, or the newcomer where nobody is worth less.
   *
   * @return the one that waits and is worth the least, or the newcomer itself; null for nobody
   */
  public T toTurnAway(T newcomer, String tenant, double worth) {
    if (size < most) {
      return null;
    }
    Queue least = null;
    for (Queue queue : filled) {
      if (least == null
          || queue.value() < least.value()
          || (queue.value() == least.value() && queue.pass.at > least.pass.at)) {
        least = queue;
      }
    }
    return least.value() < value(tenant, worth) ? least.tickets.last().item : newcomer;
  }

  private double value(String tenant, double worth) {
    return shares.over(tenant) ? worth * shares.overWorth() : worth;
  }

  /** After how long one who is turned away may come back, {@code most} at most. */
  public long comeBack(String tenant, double worth, long now, long most) {
    return Math.min(Math.max(LEAST_HOLD, wait(tenant, worth, now)), most);
  }

  /**
   * How long a request of this kind that comes now would wait, in microseconds: what goes before
   * it, over the rate at which the room has emptied lately. Zero where nothing is known: a forecast
   * that rests on nothing must turn nobody away.
   */
  public long wait(String tenant, double worth, long now) {
    fade(now);
    if (recentExits < FORETELL || now - busySince < FORGET) {
      return 0;
    }
    double value = value(tenant, worth);
    double ahead = 0;
    for (Queue queue : filled) {
      if (queue.value() >= value) {
        ahead += queue.tickets.size();
      }
    }
    return (long) (ahead * FORGET / recentExits);
  }

  private void fade(long now) {
    if (now > recentAt) {
      recentExits *= Math.exp((recentAt - now) / FORGET);
      recentAt = now;
    }
  }
}
