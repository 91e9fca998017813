package brassbank.shares;

import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The lease of one process's rank, derived from the grantors' answers. A grant is valid for a fixed
 * time from when it was requested, not from when it arrived, so that neither a delayed datagram nor
 * a suspension of the process prolongs the lease.
 *
 * <p>Times are microseconds. Not thread-safe.
 */
final class RankLease {
  private static final long NEVER = Long.MIN_VALUE;

  /**
   * The latest answer of one grantor; {@code ranks}, {@code weights} and {@code demand} describe
   * all leases that it has granted.
   */
  private record Grant(
      long process, long requestedAtMicros, BitSet ranks, List<Integer> weights, int demand) {
    int weight(int rank) {
      return ranks.get(rank) ? weights.get(ranks.get(0, rank).cardinality()) : 0;
    }
  }

  private final LeaseSettings settings;
  private final int majority;
  private final Map<Integer, Grant> grants = new HashMap<>();

  /** Grantor ranks for which two processes have answered, and until when neither is counted. */
  private final Map<Integer, Long> disputedUntilMicros = new HashMap<>();

  private long leaseEndMicros = NEVER;
  private long leaseStartMicros;

  RankLease(LeaseSettings settings, int grantors) {
    this.settings = settings;
    majority = grantors / 2 + 1;
  }

  /**
   * Adds a grantor's answer.
   *
   * @param grantor the rank of the grantor
   * @param requestedAt when this process sent the request
   */
  void addGrant(long now, int grantor, long requestedAt, LeaseMessage answer) {
    long process = answer.process();
    Grant known = grants.get(grantor);
    boolean conflict = known != null && known.process() != process && isValid(known, now);
    if (conflict || disputedUntilMicros.getOrDefault(grantor, NEVER) > now) {
      // Two processes of one rank grant independently, so that two majorities need not intersect.
      grants.remove(grantor);
      disputedUntilMicros.put(grantor, now + settings.grantMicros());
    } else if (known == null || requestedAt > known.requestedAtMicros()) {
      grants.put(
          grantor,
          new Grant(process, requestedAt, answer.ranks(), answer.weights(), answer.demand()));
    }
    boolean expired = now >= leaseEndMicros;
    leaseEndMicros = majorityEndMicros();
    if (expired) {
      leaseStartMicros = now;
    }
  }

  /** Ends the lease: the process has released it or must not spend its share. */
  void release() {
    grants.clear();
    leaseEndMicros = NEVER;
  }

  private boolean isValid(Grant grant, long now) {
    return grant.requestedAtMicros() + settings.validityMicros() > now;
  }

  /** Returns when fewer than a majority of the grants are still valid, if no other arrives. */
  private long majorityEndMicros() {
    if (grants.size() < majority) {
      return NEVER;
    }
    long[] requestTimes =
        grants.values().stream().mapToLong(Grant::requestedAtMicros).sorted().toArray();
    return requestTimes[requestTimes.length - majority] + settings.validityMicros();
  }

  /**
   * Returns whether the process may spend its share: the lease is valid and has been for the
   * activation time.
   */
  boolean isActive(long now) {
    return now < leaseEndMicros && now - leaseStartMicros >= settings.activationMicros();
  }

  /** Returns when the lease ends unless it is renewed. */
  long leaseEndMicros() {
    return leaseEndMicros;
  }

  /** Returns all ranks that hold a lease according to any valid grant. */
  BitSet leasedRanks(long now) {
    BitSet all = new BitSet();
    for (Grant grant : grants.values()) {
      if (isValid(grant, now)) {
        all.or(grant.ranks());
      }
    }
    return all;
  }

  /** Returns the highest weight of a rank's lease according to any valid grant. */
  int weight(long now, int rank) {
    return grants.values().stream()
        .filter(grant -> isValid(grant, now))
        .mapToInt(grant -> grant.weight(rank))
        .max()
        .orElse(0);
  }

  /**
   * Returns the mean number of clients per ten seconds of a lease holder, according to the most
   * recent valid grant; NaN if there is none.
   */
  double meanDemand(long now) {
    return grants.values().stream()
        .filter(grant -> isValid(grant, now) && !grant.ranks().isEmpty())
        .max(Comparator.comparingLong(Grant::requestedAtMicros))
        .map(grant -> (double) grant.demand() / grant.ranks().cardinality())
        .orElse(Double.NaN);
  }
}
