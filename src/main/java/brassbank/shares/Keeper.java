package brassbank.shares;

import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * Holds the seats of others: one for each rank, for one process at a time, until some time after it
 * was last asked for. A keeper that has just started says nothing, since it does not know what its
 * predecessor of the same rank has said.
 *
 * <p>Times are microseconds. A call costs as much as there are seats. For one thread at a time.
 */
final class Keeper {
  private record Held(long process, long until) {}

  /**
   * Who is let go has the turn for so long from its asking's arrival: longer than it may wait for
   * the others' answers, and then take to send its clients away (4 s).
   */
  static final long LEAVING = 5_000_000;

  private final long holds;
  private final long silentUntil;
  private final long silentOnLeaving;
  private int leaver;
  private Held leaving = new Held(0, Long.MIN_VALUE);
  private final Map<Integer, Held> seats = new HashMap<>();

  Keeper(long holds, long now) {
    this.holds = holds;
    silentUntil = now + holds;
    silentOnLeaving = now + LEAVING;
  }

  /** Whether it speaks yet. */
  boolean speaks(long now) {
    return now >= silentUntil;
  }

  /** Holds the rank's seat for the process from now on; false where another one has it. */
  boolean hold(long now, int rank, long process) {
    Held held = seats.get(rank);
    if (held != null && held.until() > now && held.process() != process) {
      return false;
    }
    seats.put(rank, new Held(process, now + holds));
    return true;
  }

  /** The process has stopped spending with the rank's seat. */
  void giveBack(int rank, long process) {
    Held held = seats.get(rank);
    if (held != null && held.process() == process) {
      seats.remove(rank);
    }
  }

  /** Whether it says who may leave yet. */
  boolean speaksOfLeaving(long now) {
    return now >= silentOnLeaving;
  }

  /** Lets the process go; false where another has the turn, which is {@link #leaver} then. */
  boolean letGo(long now, int rank, long process) {
    if (leaving.until() > now && leaving.process() != process) {
      return false;
    }
    leaver = rank;
    leaving = new Held(process, now + LEAVING);
    return true;
  }

  /** The rank that was let go last. */
  int leaver() {
    return leaver;
  }

  /** The process does not leave after all. */
  void stays(long process) {
    if (leaving.process() == process) {
      leaving = new Held(0, Long.MIN_VALUE);
    }
  }

  /** Ranks whose seat is held now. */
  BitSet seats(long now) {
    seats.values().removeIf(held -> held.until() <= now);
    BitSet ranks = new BitSet();
    seats.keySet().forEach(ranks::set);
    return ranks;
  }
}
