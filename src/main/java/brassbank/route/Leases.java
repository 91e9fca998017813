package brassbank.route;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The far side's ledger: the guests that this site's hosts serve, or are asked to. A guest is held
 * from {@code Open} until it ends, and until the near side has {@code Taken} it only as long as its
 * lease, which this clock measures. {@link #sweep} goes before each stamp of this clock and before
 * anything that has happened is looked at, since this process may have stood still meanwhile; that
 * is what the near side's proof rests on. Times are microseconds. For one thread at a time.
 */
class Leases {
  /** Guests that are out or stand, at most. */
  static final int MOST = 10_000;

  /** Guests that are not taken yet, at most. */
  static final int OUT = 1_000;

  private static final class Lease {
    final Guest guest;
    final Line line;
    final long until;
    final int granted;
    boolean told;

    Lease(Guest guest, Line line, long until, int granted) {
      this.guest = guest;
      this.line = line;
      this.until = until;
      this.granted = granted;
    }
  }

  private final Counts counts;
  private final Map<Guest, Lease> out = new LinkedHashMap<>();
  private final Map<Guest, Lease> standing = new LinkedHashMap<>();
  private long next = Long.MAX_VALUE;

  Leases(Counts counts) {
    this.counts = counts;
  }

  /**
   * A guest asks to be admitted.
   *
   * @param refusal why it may not be, or null
   * @return whether it is admitted
   */
  boolean open(Line line, Message.Open open, Message.End refusal, long now, List<Step> steps) {
    Guest guest = new Guest(line.gateway.peer, line.gateway.incarnation, open.number());
    if (out.containsKey(guest) || standing.containsKey(guest)) {
      // No honest peer does that. The guest that is held stays as it is: its end is owed once.
      return false;
    }
    // A lease longer than any that a sound peer gives is cut: shorter is always safe.
    long until = Math.min(open.until(), now + Crossings.LEASE);
    long hostsUntil = until - Math.max(0, line.roundTrip);
    Message.End why = refusal;
    if (open.attempts() < 1 || open.until() < 0) {
      why = Message.End.UNSOUND;
    } else if (stale(hostsUntil, now)) {
      why = Message.End.STALE;
    } else if (why == null && (out.size() >= OUT || out.size() + standing.size() >= MOST)) {
      why = Message.End.FULL;
    }
    if (why != null) {
      Counts.add(counts.refusals, why);
      steps.add(new Step.Send(line.link, new Message.Ended(open.number(), why, 0, false)));
      return false;
    }
    out.put(guest, new Lease(guest, line, until, open.attempts()));
    next = Math.min(next, until);
    counts.guests++;
    steps.add(new Step.Admit(guest, line.link, open.flowClass(), hostsUntil, open.attempts()));
    return true;
  }

  /** Whether no attempt may begin any more. The frame may have been long on its way. */
  boolean stale(long until, long now) {
    return now >= until;
  }

  void up(Guest guest, List<Step> steps) {
    Lease lease = out.get(guest);
    if (lease != null && !lease.told) {
      lease.told = true;
      steps.add(new Step.Send(lease.line.link, new Message.Up(guest.number())));
    }
  }

  void taken(Line line, long number, List<Step> steps) {
    Guest guest = new Guest(line.gateway.peer, line.gateway.incarnation, number);
    Lease lease = out.get(guest);
    if (lease != null && lease.told && lease.line == line) {
      out.remove(guest);
      standing.put(guest, lease);
      steps.add(new Step.Stand(guest));
    }
  }

  void ended(Guest guest, int used, boolean mayHaveRun, List<Step> steps) {
    Lease lease = out.getOrDefault(guest, standing.get(guest));
    if (lease != null) {
      say(lease, Message.End.HOST, Math.min(lease.granted, used), mayHaveRun, steps);
      remove(lease);
    }
  }

  void cancelled(Line line, long number, List<Step> steps) {
    Guest guest = new Guest(line.gateway.peer, line.gateway.incarnation, number);
    Lease lease = out.getOrDefault(guest, standing.get(guest));
    // Only over its own link, which keeps the order: elsewhere it might go ahead of its Open.
    if (lease != null && lease.line == line) {
      // The near side has forgotten it: no word is owed.
      steps.add(new Step.GiveUp(guest));
      remove(lease);
    }
  }

  /** Nobody can take what came over the link, or be served over it, any more. */
  void linkLost(Line lost, List<Step> steps) {
    all(lease -> lease.line == lost).forEach(l -> giveUp(l, Message.End.LINK_LOST, steps));
  }

  /** The gateway has begun another life: what its last one asked for counts no more. */
  void restarted(Gateway last, List<Step> steps) {
    all(l -> l.line.gateway == last).forEach(l -> giveUp(l, Message.End.LINK_LOST, steps));
  }

  /** Gives up every guest whose lease is over. To be carried out before any later stamp is sent. */
  void sweep(long now, List<Step> steps) {
    if (now < next) {
      return;
    }
    next = Long.MAX_VALUE;
    for (Lease lease : List.copyOf(out.values())) {
      if (now >= lease.until) {
        giveUp(lease, Message.End.EXPIRED, steps);
      } else {
        next = Math.min(next, lease.until);
      }
    }
  }

  long next() {
    return next;
  }

  int held() {
    return out.size() + standing.size();
  }

  private List<Lease> all(Predicate<Lease> which) {
    List<Lease> found = new ArrayList<>();
    out.values().stream().filter(which).forEach(found::add);
    standing.values().stream().filter(which).forEach(found::add);
    return found;
  }

  private void giveUp(Lease lease, Message.End how, List<Step> steps) {
    Counts.add(counts.refusals, how);
    steps.add(new Step.GiveUp(lease.guest));
    say(lease, how, lease.granted, true, steps);
    remove(lease);
  }

  /** The one place where a guest leaves the ledger. */
  private void remove(Lease lease) {
    out.remove(lease.guest);
    standing.remove(lease.guest);
  }

  /** The word goes over any link to that life of the peer, for its own may be gone. */
  private static void say(
      Lease lease, Message.End how, int used, boolean mayHaveRun, List<Step> steps) {
    Gateway gateway = lease.line.gateway;
    Line line = gateway.lines.get(lease.line.link);
    if (line == null && !gateway.lines.isEmpty()) {
      line = gateway.lines.values().iterator().next();
    }
    if (line != null) {
      Message word = new Message.Ended(lease.guest.number(), how, used, mayHaveRun);
      steps.add(new Step.Send(line.link, word));
    }
  }
}
