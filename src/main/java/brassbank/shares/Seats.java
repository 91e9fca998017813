package brassbank.shares;

import brassbank.shares.SeatMessage.Kind;
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
public final class Seats {
  /** Ranks below this are keepers: a larger fleet does not make more messages of each. */
  static final int MOST_KEEPERS = 15;

  /** Askings whose answers may still count, and some more. */
  private static final int REMEMBERED = 64;

  private record Asked(int sequence, long at) {}

  private final SeatSettings settings;
  private final int rank;
  private final int of;
  private final long process;
  private final Keeper keeper;
  private final Seat seat;
  private final Deque<Asked> asked = new ArrayDeque<>();

  /** What each address said of its rank; those that are no keepers need not be asked. */
  private final Map<InetSocketAddress, Integer> ranks = new HashMap<>();

  /** Who asks to leave waits so long for a majority. */
  private static final long LEAVE_WITHIN = 700_000;

  /** Whether it may leave; null where it does not ask. */
  private Leave leave;

  private int leaveSequence;
  private long leaveAskedAt;
  private final BitSet letGoBy = new BitSet();
  private long nextAsk;
  private int sequence;
  private boolean wanted;
  private long refused;
  private long taken;

  /**
   * @param rank below {@code of}, and no other live process's
   * @param of how many ranks there are, the same in all files; 1 to {@link SeatMessage#MOST_RANKS}
   * @param process by chance, new with each start
   */
  public Seats(SeatSettings settings, int rank, int of, long process, long now) {
    if (of < 1 || of > SeatMessage.MOST_RANKS || rank < 0 || rank >= of) {
      throw new IllegalArgumentException("rank " + rank + " of " + of);
    }
    this.settings = settings;
    this.rank = rank;
    this.of = of;
    this.process = process;
    keeper = new Keeper(settings.holds(), now);
    seat = new Seat(settings, Math.min(of, MOST_KEEPERS));
    nextAsk = now;
  }

  /**
   * Asks again where that is due.
   *
   * @param wants whether this process takes clients, so that it spends
   * @param others where the others of the fleet are
   */
  public void beat(long now, boolean wants, List<InetSocketAddress> others, SeatOutbox out) {
    if (wanted && !wants) {
      giveBack(now, others, out);
    }
    wanted = wants;
    if (!wants || now < nextAsk) {
      return;
    }
    nextAsk = now + settings.period();
    sequence = sequence == Integer.MAX_VALUE ? 1 : sequence + 1;
    asked.addLast(new Asked(sequence, now));
    if (asked.size() > REMEMBERED) {
      asked.removeFirst();
    }
    ranks.keySet().retainAll(others);
    SeatMessage ask = message(Kind.ASK, sequence, new BitSet());
    for (InetSocketAddress other : others) {
      if (ranks.getOrDefault(other, 0) < MOST_KEEPERS) {
        out.send(other, ask);
      }
    }
    if (rank < MOST_KEEPERS && keeper.speaks(now) && keeper.hold(now, rank, process)) {
      seat.held(now, rank, process, now, keeper.seats(now));
    }
  }

  private SeatMessage message(Kind kind, int sequence, BitSet seats) {
    return new SeatMessage(kind, process, rank, of, sequence, seats);
  }

  /** What is given back is not spent with any more: first the one, then the other. */
  private void giveBack(long now, List<InetSocketAddress> others, SeatOutbox out) {
    seat.drop();
    asked.clear();
    keeper.giveBack(rank, process);
    SeatMessage message = message(Kind.GIVE_BACK, 0, new BitSet());
    others.forEach(other -> out.send(other, message));
  }

  /**
   * Asks the fleet whether this process may leave now: one at a time does, and only while at least
   * half of all ranks have a seat beside this one. {@link #leave(long)} tells what came of it.
   */
  public void askToLeave(long now, List<InetSocketAddress> others, SeatOutbox out) {
    Part part = part(now);
    if (part.seated() && 2 * (part.of() - 1) < of) {
      leave = Leave.of(Leave.Answer.TOO_FEW);
      return;
    }
    if (!part.seated()) {
      leave = Leave.of(Leave.Answer.NOBODY_ANSWERS);
      return;
    }
    leave = Leave.ASKED;
    leaveAskedAt = now;
    letGoBy.clear();
    sequence = sequence == Integer.MAX_VALUE ? 1 : sequence + 1;
    leaveSequence = sequence;
    SeatMessage ask = message(Kind.LEAVE, leaveSequence, new BitSet());
    others.forEach(other -> out.send(other, ask));
    if (rank < MOST_KEEPERS && keeper.speaksOfLeaving(now)) {
      if (keeper.letGo(now, rank, process)) {
        letGo(rank);
      } else {
        leave = new Leave(Leave.Answer.OTHER_LEAVES, keeper.leaver());
      }
    }
  }

  private void letGo(int by) {
    letGoBy.set(by);
    if (letGoBy.cardinality() > Math.min(of, MOST_KEEPERS) / 2) {
      leave = Leave.GO;
    }
  }

  /**
   * What came of the last {@link #askToLeave}; once it is no longer {@link Leave.Answer#ASKED} it
   * is forgotten, and where it is no {@link Leave.Answer#GO}, the turn is given back.
   */
  public Leave leave(long now, List<InetSocketAddress> others, SeatOutbox out) {
    Leave known = leave;
    boolean asked = known == Leave.ASKED || known == Leave.GO;
    if (asked && now - leaveAskedAt >= LEAVE_WITHIN) {
      // Also where a majority has answered: this process may have been stopped meanwhile.
      known = Leave.of(Leave.Answer.NOBODY_ANSWERS);
    }
    if (known == null || known == Leave.ASKED) {
      return known;
    }
    leave = null;
    if (known != Leave.GO) {
      keeper.stays(process);
      SeatMessage stays = message(Kind.STAYS, 0, new BitSet());
      others.forEach(other -> out.send(other, stays));
    }
    return known;
  }

  /** Where this rank was last heard of, or null. */
  public InetSocketAddress address(int of) {
    return ranks.entrySet().stream()
        .filter(entry -> entry.getValue() == of)
        .map(Map.Entry::getKey)
        .findAny()
        .orElse(null);
  }

  /** The process ends, or another of its rank goes on in its place. */
  public void close(long now, List<InetSocketAddress> others, SeatOutbox out) {
    if (wanted) {
      wanted = false;
      giveBack(now, others, out);
    }
  }

  /** Something has come from an address. */
  public void receive(long now, InetSocketAddress from, SeatMessage message, SeatOutbox out) {
    if (message.of() != of || message.process() == process) {
      refused++;
      return;
    }
    ranks.put(from, message.rank());
    switch (message.kind()) {
      case ASK -> asked(now, from, message, out);
      case GIVE_BACK -> keeper.giveBack(message.rank(), message.process());
      case HELD -> {
        Asked mine = asked(message.sequence());
        if (mine != null && message.rank() < MOST_KEEPERS && message.seats().get(rank)) {
          seat.held(now, message.rank(), message.process(), mine.at(), message.seats());
        }
      }
      case TAKEN -> taken++;
      case LEAVE -> askedToLeave(now, from, message, out);
      case STAYS -> keeper.stays(message.process());
      case GO -> {
        if (asksToLeave(message) && message.rank() < MOST_KEEPERS) {
          letGo(message.rank());
        }
      }
      case OTHER_LEAVES -> {
        if (asksToLeave(message) && message.seats().length() > 0) {
          leave = new Leave(Leave.Answer.OTHER_LEAVES, message.seats().nextSetBit(0));
        }
      }
      default -> throw new IllegalStateException("no such kind: " + message.kind());
    }
  }

  private boolean asksToLeave(SeatMessage answer) {
    return leave == Leave.ASKED && answer.sequence() == leaveSequence;
  }

  private void askedToLeave(long now, InetSocketAddress from, SeatMessage message, SeatOutbox out) {
    if (rank >= MOST_KEEPERS || !keeper.speaksOfLeaving(now)) {
      return;
    }
    BitSet other = new BitSet();
    boolean go = keeper.letGo(now, message.rank(), message.process());
    if (!go) {
      other.set(keeper.leaver());
    }
    out.send(from, message(go ? Kind.GO : Kind.OTHER_LEAVES, message.sequence(), other));
  }

  private void asked(long now, InetSocketAddress from, SeatMessage message, SeatOutbox out) {
    if (rank >= MOST_KEEPERS) {
      // It learns from this that it need not ask here again.
      out.send(from, message(Kind.TAKEN, message.sequence(), new BitSet()));
    } else if (keeper.speaks(now)) {
      boolean held = keeper.hold(now, message.rank(), message.process());
      out.send(
          from,
          held
              ? message(Kind.HELD, message.sequence(), keeper.seats(now))
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
  public Part part(long now) {
    double base = settings.base() / of;
    if (!wanted || !seat.spends(now)) {
      return new Part(base, base, rank, of, Long.MIN_VALUE);
    }
    BitSet counted = seat.counted(now);
    int seats = counted.cardinality();
    int turn = counted.get(0, rank).cardinality();
    return new Part(base + (1 - settings.base()) / seats, base, turn, seats, seat.heldUntil());
  }

  /** Messages that came from a fleet of another size. */
  public long refused() {
    return refused;
  }

  /** How often this rank's seat was another process's. */
  public long taken() {
    return taken;
  }
}
