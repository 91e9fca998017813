package brassbank.shares;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the seats of others, one for each rank, and the one turn to leave: each for one process at
 * a time, until some time after it was last asked for. A keeper that has just started says nothing,
 * since it does not know what its predecessor of the same rank has said.
 *
 * <p>What a process gives back counts only against what it had asked for by then: a datagram that
 * comes late must not take away what it has meanwhile asked for again.
 *
 * <p>Times are microseconds. A call costs as much as there are seats. For one thread at a time.
 */
final class LeaseGrantor {
  /**
   * Who is let go has the turn for so long from its asking's arrival: longer than it may wait for
   * the others' answers, and then take to send its clients away (4 s).
   */
  static final long LEAVING = 5_000_000;

  /** What a process has, and its last asking for it. */
  private record Held(int rank, long process, int sequence, long until, int weight, int demand) {
    boolean by(long other) {
      return process == other;
    }

    Held with(int heavy, int wanted) {
      return new Held(rank, process, sequence, until, heavy, wanted);
    }

    boolean asked(long by, int before) {
      return process == by && sequence <= before;
    }
  }

  private final long holds;
  private final long startedAt;
  private final Map<Integer, Held> seats = new HashMap<>();

  /** Who has the turn to leave, or had it last; null while nobody has asked. */
  private Held leaving;

  LeaseGrantor(long holds, long now) {
    this.holds = holds;
    startedAt = now;
  }

  /** Whether it speaks of seats yet. */
  boolean speaks(long now) {
    return now - startedAt >= holds;
  }

  /** Whether it says yet who may leave. */
  boolean speaksOfLeaving(long now) {
    return now - startedAt >= LEAVING;
  }

  /** Holds the rank's seat for the process from now on; false where another one has it. */
  boolean hold(long now, int rank, long process, int sequence, int weight, int demand) {
    Held held = seats.get(rank);
    Held next = next(held, now, rank, process, sequence, holds);
    if (next == null) {
      return false;
    }
    // What comes late weighs nothing against what was asked for since.
    boolean late = held != null && held.by(process) && held.sequence() > sequence;
    seats.put(rank, late ? next.with(held.weight(), held.demand()) : next.with(weight, demand));
    return true;
  }

  /** Lets the process go; false where another has the turn, which is {@link #leaver} then. */
  boolean letGo(long now, int rank, long process, int sequence) {
    Held next = next(leaving, now, rank, process, sequence, LEAVING);
    leaving = next == null ? leaving : next;
    return next != null;
  }

  private static Held next(Held held, long now, int rank, long process, int sequence, long length) {
    if (held != null && held.until() > now && !held.by(process)) {
      return null;
    }
    int last = held != null && held.by(process) ? Math.max(held.sequence(), sequence) : sequence;
    return new Held(rank, process, last, now + length, 0, 0);
  }

  /** The process has stopped spending with the seat that it had asked for by then. */
  void giveBack(int rank, long process, int sequence) {
    Held held = seats.get(rank);
    if (held != null && held.asked(process, sequence)) {
      seats.remove(rank);
    }
  }

  /** The process does not leave by the turn that it had asked for by then. */
  void stays(long process, int sequence) {
    if (leaving != null && leaving.asked(process, sequence)) {
      leaving = null;
    }
  }

  /** The rank that has the turn to leave, or had it last; somebody must have. */
  int leaver() {
    return leaving.rank();
  }

  /** Ranks whose seat is held now. */
  BitSet seats(long now) {
    seats.values().removeIf(held -> held.until() <= now);
    BitSet ranks = new BitSet();
    seats.keySet().forEach(ranks::set);
    return ranks;
  }

  /** What some of those seats weigh, in the order of their ranks. */
  List<Integer> weights(BitSet ranks) {
    return ranks.stream().mapToObj(rank -> seats.get(rank).weight()).toList();
  }

  /** Clients that come to all with a seat together, in ten seconds. */
  int demand() {
    return seats.values().stream().mapToInt(Held::demand).sum();
  }
}
