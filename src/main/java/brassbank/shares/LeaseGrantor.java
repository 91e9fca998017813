package brassbank.shares;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Grants the leases of all ranks and the single permit to drain. Each is held by one process at a
 * time and expires some time after its last request. A grantor that has just started grants nothing
 * until every grant of its predecessor of the same rank has expired, because it does not know them.
 *
 * <p>A release takes effect only if the process has not requested the lease or permit again since:
 * a release that arrives late must not end a renewed grant.
 *
 * <p>Times are microseconds. The cost of a call is at most linear in the number of leases. Not
 * thread-safe.
 */
final class LeaseGrantor {
  /**
   * How long a permit lasts from the arrival of its request: longer than the requester may wait for
   * the other grantors' answers, plus the time in which it disconnects its clients (4 s).
   */
  static final long PERMIT_MICROS = 5_000_000;

  /** A granted lease or permit, with the sequence number of its latest request. */
  private record Grant(
      int rank, long process, int sequence, long expiresAtMicros, int weight, int demand) {
    boolean isHeldBy(long other) {
      return process == other;
    }

    Grant withWeightAndDemand(int newWeight, int newDemand) {
      return new Grant(rank, process, sequence, expiresAtMicros, newWeight, newDemand);
    }

    boolean wasRequested(long by, int upToSequence) {
      return process == by && sequence <= upToSequence;
    }
  }

  private final long grantMicros;
  private final long startedAtMicros;
  private final Map<Integer, Grant> leases = new HashMap<>();

  /** The current or last permit to drain; null before the first request. */
  private Grant drainPermit;

  LeaseGrantor(long grantMicros, long now) {
    this.grantMicros = grantMicros;
    startedAtMicros = now;
  }

  /** Returns whether enough time has passed since the start to grant leases. */
  boolean grantsLeases(long now) {
    return now - startedAtMicros >= grantMicros;
  }

  /** Returns whether enough time has passed since the start to grant the permit to drain. */
  boolean grantsPermits(long now) {
    return now - startedAtMicros >= PERMIT_MICROS;
  }

  /** Grants or renews the lease of a rank; returns false if another process holds it. */
  boolean grantLease(long now, int rank, long process, int sequence, int weight, int demand) {
    Grant held = leases.get(rank);
    Grant next = renew(held, now, rank, process, sequence, grantMicros);
    if (next == null) {
      return false;
    }
    // A request that arrives late must not replace the weight and demand of a newer one.
    boolean late = held != null && held.isHeldBy(process) && held.sequence() > sequence;
    leases.put(
        rank,
        late
            ? next.withWeightAndDemand(held.weight(), held.demand())
            : next.withWeightAndDemand(weight, demand));
    return true;
  }

  /**
   * Grants or renews the permit to drain; returns false if another process, that of {@link
   * #permitHolderRank}, holds it.
   */
  boolean grantPermit(long now, int rank, long process, int sequence) {
    Grant next = renew(drainPermit, now, rank, process, sequence, PERMIT_MICROS);
    drainPermit = next == null ? drainPermit : next;
    return next != null;
  }

  /** Returns the renewed grant, or null if another process holds an unexpired one. */
  private static Grant renew(
      Grant held, long now, int rank, long process, int sequence, long durationMicros) {
    if (held != null && held.expiresAtMicros() > now && !held.isHeldBy(process)) {
      return null;
    }
    int lastSequence =
        held != null && held.isHeldBy(process) ? Math.max(held.sequence(), sequence) : sequence;
    return new Grant(rank, process, lastSequence, now + durationMicros, 0, 0);
  }

  /**
   * Releases the lease of a process that no longer spends its share, unless the process has
   * requested it again.
   */
  void releaseLease(int rank, long process, int sequence) {
    Grant held = leases.get(rank);
    if (held != null && held.wasRequested(process, sequence)) {
      leases.remove(rank);
    }
  }

  /**
   * Releases the permit of a process that does not drain, unless the process has requested it
   * again.
   */
  void releasePermit(long process, int sequence) {
    if (drainPermit != null && drainPermit.wasRequested(process, sequence)) {
      drainPermit = null;
    }
  }

  /** Returns the rank that holds or last held the permit; there must have been one. */
  int permitHolderRank() {
    return drainPermit.rank();
  }

  /** Removes expired leases and returns the ranks of the others. */
  BitSet leasedRanks(long now) {
    leases.values().removeIf(held -> held.expiresAtMicros() <= now);
    BitSet ranks = new BitSet();
    leases.keySet().forEach(ranks::set);
    return ranks;
  }

  /** Returns the weights of the given ranks' leases, in ascending order of rank. */
  List<Integer> weights(BitSet ranks) {
    return ranks.stream().mapToObj(rank -> leases.get(rank).weight()).toList();
  }

  /** Returns the clients per ten seconds of all lease holders together. */
  int demand() {
    return leases.values().stream().mapToInt(Grant::demand).sum();
  }
}
