package brassbank.shares;

import java.util.BitSet;

/**
 * A request of one process for the permit to drain. A majority of the grantors must grant it within
 * {@link #TIMEOUT_MICROS} by the requester's own clock; a process that was suspended meanwhile does
 * not use grants that may have expired. Times are microseconds. Not thread-safe.
 */
final class DrainPermitRequest {
  /** How long the requester waits for a majority. */
  private static final long TIMEOUT_MICROS = 700_000;

  private final int majority;
  private final int sequence;
  private final long requestedAtMicros;
  private final BitSet grantedBy = new BitSet();
  private int otherRank = -1;

  DrainPermitRequest(int majority, int sequence, long now) {
    this.majority = majority;
    this.sequence = sequence;
    requestedAtMicros = now;
  }

  int sequence() {
    return sequence;
  }

  /** Adds a grant of the grantor with this rank. */
  void addGrant(int grantor) {
    grantedBy.set(grantor);
  }

  /** Adds a refusal: the given rank holds the permit. */
  void addRefusal(int rank) {
    otherRank = rank;
  }

  /** Returns the result as far as it is known. */
  DrainPermit permit(long now) {
    if (otherRank >= 0) {
      return new DrainPermit(DrainPermit.Status.OTHER_DRAINS, otherRank);
    } else if (now - requestedAtMicros >= TIMEOUT_MICROS) {
      return DrainPermit.of(DrainPermit.Status.NO_MAJORITY);
    }
    return grantedBy.cardinality() >= majority ? DrainPermit.GRANTED : DrainPermit.PENDING;
  }
}
