package brassbank.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The near side's ledger: which flows have crossed, and what proves that their attempt is over. A
 * flow that is in it is tried nowhere else. It leaves it by exactly one of
 *
 * <ul>
 *   <li>{@code Up}, in time: it is served;
 *   <li>{@code Ended}, a stamp of the far clock past the lease, or the far gateway's next life: its
 *       attempt is over, and it may be tried again;
 *   <li>the end of its lease by this clock: it is answered, and never tried again;
 *   <li>its client's leaving.
 * </ul>
 *
 * docs/gateway.md proves that no two attempts are out. Times are microseconds. What is out is
 * scanned for each stamp, and bounded by {@link #OUT}. For one thread at a time.
 */
class Crossings {
  /** Crossings that await an answer, at most: set-ups of 2 s at 500 flows a second. */
  static final int OUT = 1_000;

  /** Crossings that await an answer or stand, at most. */
  static final int MOST = 10_000;

  /**
   * The longest lease: a flow that is given up at its end still has a second or more of the
   * shortest deadline (3 s) for an attempt here.
   */
  static final long LEASE = 2_000_000;

  /** The shortest, beside the way there and back: what a host takes to set up, and half as much. */
  static final long LEAST = 300_000;

  /** Kept between the end of a lease and the deadline, for the answer's own way. */
  static final long ANSWER = 20_000;

  /** The far side's own word comes at about the end of the lease; it is worth this much waiting. */
  static final long WORD = 200_000;

  private static final class Crossing {
    final long number;
    final long flow;
    final Peer peer;
    final long incarnation;
    final long link;
    final long sentAt;
    final long until;
    final long over;
    final long deadline;
    final int attempts;
    final int granted;
    long due;

    Crossing(long number, Arrival arrival, Line line, long now, long lease) {
      this.number = number;
      flow = arrival.flow();
      peer = line.gateway.peer;
      incarnation = line.gateway.incarnation;
      link = line.link;
      sentAt = now;
      until = line.gateway.clock.floor(now) + lease;
      over = PeerClock.over(now, lease);
      deadline = now + arrival.left();
      attempts = arrival.attempts();
      granted = Math.max(1, attempts - 1);
      due = over;
    }

    boolean of(Gateway gateway) {
      return gateway.peer.equals(peer) && gateway.incarnation == incarnation;
    }
  }

  private final Counts counts;
  private final Map<Long, Crossing> out = new LinkedHashMap<>();
  private final Map<Long, Crossing> standing = new HashMap<>();

  /** The number of each flow's crossing. */
  private final Map<Long, Long> flows = new HashMap<>();

  private long numbers;
  private long next = Long.MAX_VALUE;

  Crossings(Counts counts) {
    this.counts = counts;
  }

  /** How long a lease the flow could have over such a link; 0 if it is not worth an attempt. */
  static long lease(Arrival arrival, long roundTrip) {
    long most = arrival.left() - ANSWER;
    long lease = Math.min(LEASE, most - most * 2 * PeerClock.DRIFT / 1_000_000 - 10);
    return lease >= LEAST + 2 * roundTrip ? lease : 0;
  }

  boolean full() {
    return out.size() >= OUT || flows.size() >= MOST;
  }

  boolean holds(long flow) {
    return flows.containsKey(flow);
  }

  /** A flow crosses; its lease is as {@link #lease} said. */
  Message.Open open(Arrival arrival, Line line, long now, long lease) {
    if (full() || holds(arrival.flow()) || arrival.attempts() < 1) {
      throw new IllegalStateException("flow " + arrival.flow() + " may not cross");
    }
    Crossing crossing = new Crossing(++numbers, arrival, line, now, lease);
    out.put(crossing.number, crossing);
    flows.put(crossing.flow, crossing.number);
    next = Math.min(next, crossing.due);
    return new Message.Open(crossing.number, arrival.flowClass(), crossing.until, crossing.granted);
  }

  void up(Line line, long number, long now, List<Step> steps) {
    Crossing crossing = out.get(number);
    if (crossing == null || crossing.link != line.link || now >= crossing.over) {
      if (crossing == null && !standing.containsKey(number)) {
        steps.add(new Step.Send(line.link, new Message.Cancel(number)));
      }
      counts.voids++;
      return;
    }
    out.remove(number);
    standing.put(number, crossing);
    counts.served++;
    steps.add(new Step.Send(line.link, new Message.Taken(number)));
    steps.add(new Step.Served(crossing.flow, line.link, number));
  }

  void ended(Gateway from, Message.Ended told, List<Step> steps) {
    Crossing crossing = out.getOrDefault(told.number(), standing.get(told.number()));
    if (crossing == null || !crossing.of(from)) {
      counts.voids++;
      return;
    }
    if (standing.containsKey(told.number())) {
      remove(crossing);
      steps.add(new Step.Move(crossing.flow));
      return;
    }
    Counts.add(counts.ends, told.how());
    int used = Math.min(crossing.granted, Math.max(1, told.used()));
    again(crossing, used, told.mayHaveRun(), steps);
  }

  /** The far clock was heard to show its {@link PeerClock#latest}. */
  void heard(Gateway gateway, long now, List<Step> steps) {
    for (Crossing c : out(c -> c.of(gateway) && c.until <= gateway.clock.latest())) {
      counts.proved++;
      counts.leaseWait += now - c.sentAt;
      again(c, c.granted, true, steps);
    }
  }

  /** The gateway has begun another life, which knows nothing of the last one's crossings. */
  void restarted(Gateway last, List<Step> steps) {
    for (Crossing c : out(c -> c.of(last))) {
      counts.restarts++;
      again(c, c.granted, true, steps);
    }
  }

  /** What stood over the link has ended; what was out over it may still be out. */
  void linkLost(Line line, List<Step> steps) {
    for (Crossing c : List.copyOf(standing.values())) {
      if (c.link == line.link) {
        remove(c);
        steps.add(new Step.Move(c.flow));
      }
    }
  }

  /** The flow is over here; what is left of it there is called off. */
  void left(long flow, Predicate<Long> linkIsUp, List<Step> steps) {
    Long number = flows.get(flow);
    if (number == null) {
      return;
    }
    Crossing crossing = out.getOrDefault(number, standing.get(number));
    remove(crossing);
    if (linkIsUp.test(crossing.link)) {
      steps.add(new Step.Send(crossing.link, new Message.Cancel(number)));
    }
  }

  /** Leases that are over are answered, at once but for a word that would let the flow go on. */
  void tick(long now, Predicate<Peer> reached, List<Step> steps) {
    if (now < next) {
      return;
    }
    for (Crossing c : out(c -> c.due <= now)) {
      long word = c.over + WORD;
      boolean worthIt = c.attempts > c.granted && c.deadline - word >= LEAST;
      if (now < word && worthIt && reached.test(c.peer)) {
        c.due = word;
      } else {
        counts.unproved++;
        counts.leaseWait += now - c.sentAt;
        remove(c);
        steps.add(new Step.Answer(c.flow));
      }
    }
    next = Long.MAX_VALUE;
    out.values().forEach(c -> next = Math.min(next, c.due));
  }

  long next() {
    return next;
  }

  int awaited() {
    return out.size();
  }

  private List<Crossing> out(Predicate<Crossing> which) {
    List<Crossing> found = new ArrayList<>();
    for (Crossing crossing : out.values()) {
      if (which.test(crossing)) {
        found.add(crossing);
      }
    }
    return found;
  }

  private void again(Crossing crossing, int used, boolean mayHaveRun, List<Step> steps) {
    remove(crossing);
    steps.add(new Step.Again(crossing.flow, crossing.attempts - used, mayHaveRun));
  }

  /** The one place where a crossing leaves the ledger. */
  private void remove(Crossing crossing) {
    out.remove(crossing.number);
    standing.remove(crossing.number);
    flows.remove(crossing.flow);
  }
}
