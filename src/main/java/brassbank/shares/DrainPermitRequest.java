package brassbank.shares;

import java.util.BitSet;

/**
 * One process's asking for the turn to leave. A majority must let it go soon after it has asked, by
 * its own clock: one that was stopped meanwhile finds the turn over. Times are microseconds. For
 * one thread at a time.
 */
final class DrainPermitRequest {
  /** Who asks to leave waits so long for a majority. */
  private static final long WITHIN = 700_000;

  private final int majority;
  private final int sequence;
  private final long askedAt;
  private final BitSet letGoBy = new BitSet();
  private int other = -1;

  DrainPermitRequest(int majority, int sequence, long now) {
    this.majority = majority;
    this.sequence = sequence;
    askedAt = now;
  }

  int sequence() {
    return sequence;
  }

  /** A keeper lets it go. */
  void go(int keeper) {
    letGoBy.set(keeper);
  }

  /** A keeper says who leaves instead. */
  void otherLeaves(int rank) {
    other = rank;
  }

  /** What is known now. */
  DrainPermit leave(long now) {
    if (other >= 0) {
      return new DrainPermit(DrainPermit.Status.OTHER_DRAINS, other);
    } else if (now - askedAt >= WITHIN) {
      return DrainPermit.of(DrainPermit.Status.NO_MAJORITY);
    }
    return letGoBy.cardinality() >= majority ? DrainPermit.GO : DrainPermit.ASKED;
  }
}
