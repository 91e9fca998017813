package brassbank.shares;

import brassbank.shares.LeaseMessage.Kind;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One process among those that share the fleet's budgets: it asks for its own seat and, where its
 * rank is a keeper's, holds the others'. It is told the time with each call, in microseconds of a
 * steady clock that goes on while the process is stopped, by one thread.
 */
public final class LeaseParticipant {
  /** Ranks below this are keepers: a larger fleet does not make more messages of each. */
  static final int MOST_KEEPERS = 15;

  /** Askings whose answers may still count, and some more. */
  private static final int REMEMBERED = 64;

  private record Asked(int sequence, long at, int weight) {}

  private final LeaseSettings settings;
  private final int rank;
  private final int of;
  private final long process;
  private final LeaseGrantor keeper;
  private final RankLease seat;
  private final Demand demand;
  private final Deque<Asked> asked = new ArrayDeque<>();

  /** What each address said of its rank; those that are no keepers need not be asked. */
  private final Map<InetSocketAddress, Integer> ranks = new HashMap<>();

  /** The asking to leave that is under way, or null. */
  private DrainPermitRequest turn;

  private long nextAsk;
  private int sequence;
  private boolean wanted;
  private long refused;
  private long taken;

  /**
   * @param rank below {@code of}, and no other live process's
   * @param of how many ranks there are, the same in all files; 1 to {@link LeaseMessage#MAX_RANKS}
   * @param process by chance, new with each start
   */
  public LeaseParticipant(LeaseSettings settings, int rank, int of, long process, long now) {
    if (of < 1 || of > LeaseMessage.MAX_RANKS || rank < 0 || rank >= of) {
      throw new IllegalArgumentException("rank " + rank + " of " + of);
    }
    this.settings = settings;
    this.rank = rank;
    this.of = of;
    this.process = process;
    keeper = new LeaseGrantor(settings.grantMicros(), now);
    seat = new RankLease(settings, keepers());
    demand = new Demand(now);
    nextAsk = now;
  }

  /** So many clients have come to this process in all: what it asks for follows from that. */
  public void recordClients(long now, long clients) {
    demand.look(now, clients);
  }

  /**
   * Asks again where that is due.
   *
   * @param wants whether this process takes clients, so that it spends
   * @param others where the others of the fleet are
   */
  public void tick(long now, boolean wants, List<InetSocketAddress> others, LeaseOutbox out) {
    if (wanted && !wants) {
      giveBack(now, others, out);
    }
    wanted = wants;
    if (!wants || now < nextAsk) {
      return;
    }
    nextAsk = now + settings.renewalMicros();
    int weight = demand.weight(now, seat.meanDemand(now));
    asked.addLast(new Asked(next(), now, weight));
    if (asked.size() > REMEMBERED) {
      asked.removeFirst();
    }
    ranks.keySet().retainAll(others);
    LeaseMessage ask =
        new LeaseMessage(
            Kind.ASK, process, rank, of, sequence, new BitSet(), List.of(), weight, demand.count());
    for (InetSocketAddress other : others) {
      if (ranks.getOrDefault(other, 0) < MOST_KEEPERS) {
        out.send(other, ask);
      }
    }
    if (rank < MOST_KEEPERS && keeper.speaks(now) && holds(now, ask)) {
      seat.held(now, rank, now, held(now, sequence));
    }
  }

  private boolean holds(long now, LeaseMessage ask) {
    return keeper.hold(now, ask.rank(), ask.process(), ask.sequence(), ask.weight(), ask.demand());
  }

  /** The answer of this keeper. */
  private LeaseMessage held(long now, int sequence) {
    BitSet seats = keeper.seats(now);
    return new LeaseMessage(
        Kind.HELD,
        process,
        rank,
        of,
        sequence,
        seats,
        keeper.weights(seats),
        LeaseMessage.DEFAULT_WEIGHT,
        keeper.demand());
  }

  private int next() {
    return ++sequence;
  }

  private int keepers() {
    return Math.min(of, MOST_KEEPERS);
  }

  private LeaseMessage message(Kind kind, int sequence, BitSet seats) {
    return new LeaseMessage(kind, process, rank, of, sequence, seats);
  }

  /** What is given back is not spent with any more: first the one, then the other. */
  private void giveBack(long now, List<InetSocketAddress> others, LeaseOutbox out) {
    seat.drop();
    asked.clear();
    keeper.giveBack(rank, process, sequence);
    LeaseMessage message = message(Kind.GIVE_BACK, sequence, new BitSet());
    others.forEach(other -> out.send(other, message));
  }

  /**
   * Asks the fleet whether this process may leave now: one at a time does, and only while at least
   * half of all ranks have a seat beside this one.
   *
   * @return what is known at once; while that is {@link Leave.Status#PENDING}, {@link
   *     #pollDrainPermit} tells what has come of it
   */
  public DrainPermit requestDrainPermit(long now, List<InetSocketAddress> others, LeaseOutbox out) {
    BudgetShare part = share(now);
    if (!part.hasLease()) {
      return DrainPermit.of(DrainPermit.Status.NO_MAJORITY);
    } else if (2 * (part.participants() - 1) < of) {
      return DrainPermit.of(DrainPermit.Status.TOO_FEW_LEASES);
    }
    turn = new DrainPermitRequest(keepers() / 2 + 1, next(), now);
    LeaseMessage ask = message(Kind.LEAVE, turn.sequence(), new BitSet());
    others.forEach(other -> out.send(other, ask));
    if (rank < MOST_KEEPERS && keeper.speaksOfLeaving(now)) {
      if (keeper.letGo(now, rank, process, turn.sequence())) {
        turn.go(rank);
      } else {
        turn.otherLeaves(keeper.leaver());
      }
    }
    return pollDrainPermit(now, others, out);
  }

  /**
   * What has come of {@link #requestDrainPermit}, or null where nothing was asked. Once it is no
   * longer {@link Leave.Status#PENDING} it is forgotten, and where it is no {@link
   * Leave.Status#GRANTED}, the turn is given back.
   */
  public DrainPermit pollDrainPermit(long now, List<InetSocketAddress> others, LeaseOutbox out) {
    DrainPermit known = turn == null ? null : turn.leave(now);
    if (known == null || known == DrainPermit.ASKED) {
      return known;
    }
    if (known != DrainPermit.GO) {
      keeper.stays(process, turn.sequence());
      LeaseMessage stays = message(Kind.STAYS, turn.sequence(), new BitSet());
      others.forEach(other -> out.send(other, stays));
    }
    turn = null;
    return known;
  }

  /** Where this rank was last heard of, or null. */
  public InetSocketAddress addressOfRank(int of) {
    return ranks.entrySet().stream()
        .filter(entry -> entry.getValue() == of)
        .map(Map.Entry::getKey)
        .findAny()
        .orElse(null);
  }

  /** The process ends, or another of its rank goes on in its place. */
  public void close(long now, List<InetSocketAddress> others, LeaseOutbox out) {
    if (wanted) {
      wanted = false;
      giveBack(now, others, out);
    }
  }

  /** Something has come from an address. */
  public void receive(long now, InetSocketAddress from, LeaseMessage message, LeaseOutbox out) {
    if (message.rankCount() != of || message.process() == process) {
      refused++;
      return;
    }
    ranks.put(from, message.rank());
    switch (message.kind()) {
      case ASK -> asked(now, from, message, out);
      case GIVE_BACK -> keeper.giveBack(message.rank(), message.process(), message.sequence());
      case HELD -> {
        Asked mine = asked(message.sequence());
        if (mine != null && message.rank() < MOST_KEEPERS && message.ranks().get(rank)) {
          seat.held(now, message.rank(), mine.at(), message);
        }
      }
      case TAKEN -> taken++;
      case LEAVE -> askedToLeave(now, from, message, out);
      case STAYS -> keeper.stays(message.process(), message.sequence());
      case GO -> {
        if (answers(message) && message.rank() < MOST_KEEPERS) {
          turn.go(message.rank());
        }
      }
      case OTHER_LEAVES -> {
        if (answers(message) && !message.ranks().isEmpty()) {
          turn.otherLeaves(message.ranks().nextSetBit(0));
        }
      }
      default -> throw new IllegalStateException("no such kind: " + message.kind());
    }
  }

  /** Whether it answers the asking to leave that is under way. */
  private boolean answers(LeaseMessage message) {
    return turn != null && message.sequence() == turn.sequence();
  }

  private void askedToLeave(
      long now, InetSocketAddress from, LeaseMessage message, LeaseOutbox out) {
    if (rank >= MOST_KEEPERS || !keeper.speaksOfLeaving(now)) {
      return;
    }
    BitSet other = new BitSet();
    boolean go = keeper.letGo(now, message.rank(), message.process(), message.sequence());
    if (!go) {
      other.set(keeper.leaver());
    }
    out.send(from, message(go ? Kind.GO : Kind.OTHER_LEAVES, message.sequence(), other));
  }

  private void asked(long now, InetSocketAddress from, LeaseMessage message, LeaseOutbox out) {
    if (rank >= MOST_KEEPERS) {
      // It learns from this that it need not ask here again.
      out.send(from, message(Kind.TAKEN, message.sequence(), new BitSet()));
    } else if (keeper.speaks(now)) {
      out.send(
          from,
          holds(now, message)
              ? held(now, message.sequence())
              : message(Kind.TAKEN, message.sequence(), new BitSet()));
    }
  }

  private Asked asked(int sequence) {
    for (Asked one : asked) {
      if (one.sequence() == sequence) {
        return one;
      }
    }
    return null;
  }

  /** What this process may spend of each budget now. */
  public BudgetShare share(long now) {
    double base = settings.baseShare() / of;
    if (!wanted || !seat.spends(now)) {
      return new BudgetShare(base, base, rank, of, Long.MIN_VALUE);
    }
    BitSet counted = seat.counted(now);
    int seats = counted.cardinality();
    int turn = counted.get(0, rank).cardinality();
    int own = weight(now);
    int all = Math.max(0, own - seat.weight(now, rank));
    all += counted.stream().map(other -> seat.weight(now, other)).sum();
    double rest = (1 - settings.baseShare()) * own / all;
    return new BudgetShare(base + rest, base, turn, seats, seat.heldUntil());
  }

  /** What its seat is spent with: no more than others may still count it for. */
  public int weight(long now) {
    return asked.stream()
        .filter(one -> one.at() > now - settings.weightWindowMicros())
        .mapToInt(Asked::weight)
        .min()
        .orElse(1);
  }

  /** Messages that came from a fleet of another size. */
  public long rankCountMismatches() {
    return refused;
  }

  /** How often this rank's seat was another process's. */
  public long rankConflicts() {
    return taken;
  }
}
