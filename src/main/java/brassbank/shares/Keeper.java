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

  private final long holds;
  private final long silentUntil;
  private final Map<Integer, Held> seats = new HashMap<>();

  Keeper(long holds, long now) {
    this.holds = holds;
    silentUntil = now + holds;
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

  /** Ranks whose seat is held now. */
  BitSet seats(long now) {
    seats.values().removeIf(held -> held.until() <= now);
    BitSet ranks = new BitSet();
    seats.keySet().forEach(ranks::set);
    return ranks;
  }
}
