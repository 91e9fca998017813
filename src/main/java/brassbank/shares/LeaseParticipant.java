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
 * One process among those that divide the fleet's budgets. It requests the lease of its own rank
 * and, if its rank is that of a grantor, answers the requests of the others.
 *
 * <p>The caller passes the current time with each call, in microseconds of a monotonic clock that
 * continues while the process is suspended. Not thread-safe: all calls must come from one thread.
 */
public final class LeaseParticipant {
  /**
   * Processes of lower ranks are grantors. The limit bounds the messages that each process sends in
   * a large fleet.
   */
  static final int MAX_GRANTORS = 15;

  /** Recent requests that are remembered: more than those whose answers can still be valid. */
  private static final int MAX_TRACKED_REQUESTS = 64;

  private record LeaseRequest(int sequence, long sentAtMicros, int weight) {}

  private final LeaseSettings settings;
  private final int rank;
  private final int rankCount;
  private final long process;
  private final LeaseGrantor grantor;
  private final RankLease lease;
  private final Demand demand;
  private final Deque<LeaseRequest> requests = new ArrayDeque<>();

  /** The rank last received from each address; only grantors are asked for leases. */
  private final Map<InetSocketAddress, Integer> ranksByAddress = new HashMap<>();

  /** The pending request for the permit to drain, or null. */
  private DrainPermitRequest permitRequest;

  private long nextRequestAtMicros;
  private int sequence;
  private boolean leaseWanted;
  private long rankCountMismatches;
  private long rankConflicts;

  /**
   * Creates a participant that has no lease yet.
   *
   * @param rank below {@code rankCount}; no other running process has the same
   * @param rankCount the number of ranks, the same for all processes of the fleet; 1 to {@link
   *     LeaseMessage#MAX_RANKS}
   * @param process identifies this process start: a random number
   * @throws IllegalArgumentException if the rank or the number of ranks is out of bounds
   */
  public LeaseParticipant(LeaseSettings settings, int rank, int rankCount, long process, long now) {
    if (rankCount < 1 || rankCount > LeaseMessage.MAX_RANKS || rank < 0 || rank >= rankCount) {
      throw new IllegalArgumentException("rank " + rank + " of " + rankCount + " ranks");
    }
    this.settings = settings;
    this.rank = rank;
    this.rankCount = rankCount;
    this.process = process;
    grantor = new LeaseGrantor(settings.grantMicros(), now);
    lease = new RankLease(settings, grantorCount());
    demand = new Demand(now);
    nextRequestAtMicros = now;
  }

  /**
   * Updates the demand, from which the weight of the next request follows.
   *
   * @param clients the number of clients that this process has accepted since its start
   */
  public void recordClients(long now, long clients) {
    demand.update(now, clients);
  }

  /**
   * Requests the lease again if the renewal is due, or releases it if the process no longer wants
   * it.
   *
   * @param wantsLease whether this process accepts clients and so spends from the budgets
   * @param others addresses of the other members of the fleet
   */
  public void tick(long now, boolean wantsLease, List<InetSocketAddress> others, LeaseOutbox out) {
    if (leaseWanted && !wantsLease) {
      releaseLease(now, others, out);
    }
    leaseWanted = wantsLease;
    if (!wantsLease || now < nextRequestAtMicros) {
      return;
    }
    nextRequestAtMicros = now + settings.renewalMicros();
    int weight = demand.weight(now, lease.meanDemand(now));
    requests.addLast(new LeaseRequest(nextSequence(), now, weight));
    if (requests.size() > MAX_TRACKED_REQUESTS) {
      requests.removeFirst();
    }
    ranksByAddress.keySet().retainAll(others);
    LeaseMessage request =
        new LeaseMessage(
            Kind.ASK,
            process,
            rank,
            rankCount,
            sequence,
            new BitSet(),
            List.of(),
            weight,
            demand.clientsPerTenSeconds());
    for (InetSocketAddress other : others) {
      if (ranksByAddress.getOrDefault(other, 0) < MAX_GRANTORS) {
        out.send(other, request);
      }
    }
    if (rank < MAX_GRANTORS && grantor.grantsLeases(now) && grantLease(now, request)) {
      lease.addGrant(now, rank, now, grantMessage(now, sequence));
    }
  }

  private boolean grantLease(long now, LeaseMessage request) {
    return grantor.grantLease(
        now,
        request.rank(),
        request.process(),
        request.sequence(),
        request.weight(),
        request.demand());
  }

  /** Returns this grantor's answer to a granted request. */
  private LeaseMessage grantMessage(long now, int requestSequence) {
    BitSet ranks = grantor.leasedRanks(now);
    return new LeaseMessage(
        Kind.HELD,
        process,
        rank,
        rankCount,
        requestSequence,
        ranks,
        grantor.weights(ranks),
        LeaseMessage.DEFAULT_WEIGHT,
        grantor.demand());
  }

  private int nextSequence() {
    return ++sequence;
  }

  private int grantorCount() {
    return Math.min(rankCount, MAX_GRANTORS);
  }

  private LeaseMessage message(Kind kind, int messageSequence, BitSet ranks) {
    return new LeaseMessage(kind, process, rank, rankCount, messageSequence, ranks);
  }

  /** Stops spending the share first, and then announces the release. */
  private void releaseLease(long now, List<InetSocketAddress> others, LeaseOutbox out) {
    lease.release();
    requests.clear();
    grantor.releaseLease(rank, process, sequence);
    LeaseMessage message = message(Kind.GIVE_BACK, sequence, new BitSet());
    others.forEach(other -> out.send(other, message));
  }

  /**
   * Requests the permit to drain. One process holds it at a time, and only while at least half of
   * all ranks other than this one hold a lease.
   *
   * @return the result as far as it is known; while it is {@link DrainPermit.Status#PENDING},
   *     {@link #pollDrainPermit} returns the later result
   */
  public DrainPermit requestDrainPermit(long now, List<InetSocketAddress> others, LeaseOutbox out) {
    BudgetShare share = share(now);
    if (!share.hasLease()) {
      return DrainPermit.of(DrainPermit.Status.NO_MAJORITY);
    } else if (2 * (share.participants() - 1) < rankCount) {
      return DrainPermit.of(DrainPermit.Status.TOO_FEW_LEASES);
    }
    permitRequest = new DrainPermitRequest(grantorCount() / 2 + 1, nextSequence(), now);
    LeaseMessage request = message(Kind.LEAVE, permitRequest.sequence(), new BitSet());
    others.forEach(other -> out.send(other, request));
    if (rank < MAX_GRANTORS && grantor.grantsPermits(now)) {
      if (grantor.grantPermit(now, rank, process, permitRequest.sequence())) {
        permitRequest.addGrant(rank);
      } else {
        permitRequest.addRefusal(grantor.permitHolderRank());
      }
    }
    return pollDrainPermit(now, others, out);
  }

  /**
   * Returns the result of {@link #requestDrainPermit}, or null if no request is pending. A final
   * result is returned once; if it is not {@link DrainPermit.Status#GRANTED}, the grants received
   * so far are released.
   */
  public DrainPermit pollDrainPermit(long now, List<InetSocketAddress> others, LeaseOutbox out) {
    DrainPermit known = permitRequest == null ? null : permitRequest.permit(now);
    if (known == null || known == DrainPermit.PENDING) {
      return known;
    }
    if (known != DrainPermit.GRANTED) {
      grantor.releasePermit(process, permitRequest.sequence());
      LeaseMessage release = message(Kind.STAYS, permitRequest.sequence(), new BitSet());
      others.forEach(other -> out.send(other, release));
    }
    permitRequest = null;
    return known;
  }

  /** Returns the address from which a message of this rank last arrived, or null. */
  public InetSocketAddress addressOfRank(int wantedRank) {
    return ranksByAddress.entrySet().stream()
        .filter(entry -> entry.getValue() == wantedRank)
        .map(Map.Entry::getKey)
        .findAny()
        .orElse(null);
  }

  /** Releases the lease because the process stops or a successor of the same rank takes over. */
  public void close(long now, List<InetSocketAddress> others, LeaseOutbox out) {
    if (leaseWanted) {
      leaseWanted = false;
      releaseLease(now, others, out);
    }
  }

  /** Handles a message received from another process. */
  public void receive(long now, InetSocketAddress from, LeaseMessage message, LeaseOutbox out) {
    if (message.rankCount() != rankCount || message.process() == process) {
      rankCountMismatches++;
      return;
    }
    ranksByAddress.put(from, message.rank());
    switch (message.kind()) {
      case ASK -> handleLeaseRequest(now, from, message, out);
      case GIVE_BACK -> grantor.releaseLease(message.rank(), message.process(), message.sequence());
      case HELD -> {
        LeaseRequest request = findRequest(message.sequence());
        if (request != null && message.rank() < MAX_GRANTORS && message.ranks().get(rank)) {
          lease.addGrant(now, message.rank(), request.sentAtMicros(), message);
        }
      }
      case TAKEN -> rankConflicts++;
      case LEAVE -> handlePermitRequest(now, from, message, out);
      case STAYS -> grantor.releasePermit(message.process(), message.sequence());
      case GO -> {
        if (answersPermitRequest(message) && message.rank() < MAX_GRANTORS) {
          permitRequest.addGrant(message.rank());
        }
      }
      case OTHER_LEAVES -> {
        if (answersPermitRequest(message) && !message.ranks().isEmpty()) {
          permitRequest.addRefusal(message.ranks().nextSetBit(0));
        }
      }
      default -> throw new IllegalStateException("unhandled kind of message: " + message.kind());
    }
  }

  /** Returns whether a message answers the pending request for the permit to drain. */
  private boolean answersPermitRequest(LeaseMessage message) {
    return permitRequest != null && message.sequence() == permitRequest.sequence();
  }

  private void handlePermitRequest(
      long now, InetSocketAddress from, LeaseMessage message, LeaseOutbox out) {
    if (rank >= MAX_GRANTORS || !grantor.grantsPermits(now)) {
      return;
    }
    BitSet holder = new BitSet();
    boolean granted =
        grantor.grantPermit(now, message.rank(), message.process(), message.sequence());
    if (!granted) {
      holder.set(grantor.permitHolderRank());
    }
    out.send(from, message(granted ? Kind.GO : Kind.OTHER_LEAVES, message.sequence(), holder));
  }

  private void handleLeaseRequest(
      long now, InetSocketAddress from, LeaseMessage message, LeaseOutbox out) {
    if (rank >= MAX_GRANTORS) {
      // The message carries this rank, by which the requester sees that this process is not a
      // grantor.
      out.send(from, message(Kind.TAKEN, message.sequence(), new BitSet()));
    } else if (grantor.grantsLeases(now)) {
      out.send(
          from,
          grantLease(now, message)
              ? grantMessage(now, message.sequence())
              : message(Kind.TAKEN, message.sequence(), new BitSet()));
    }
  }

  private LeaseRequest findRequest(int requestSequence) {
    for (LeaseRequest request : requests) {
      if (request.sequence() == requestSequence) {
        return request;
      }
    }
    return null;
  }

  /** Returns the share of each budget that this process may spend now. */
  public BudgetShare share(long now) {
    double base = settings.baseShare() / rankCount;
    if (!leaseWanted || !lease.isActive(now)) {
      return new BudgetShare(base, base, rank, rankCount, Long.MIN_VALUE);
    }
    BitSet leasedRanks = lease.leasedRanks(now);
    int participants = leasedRanks.cardinality();
    int index = leasedRanks.get(0, rank).cardinality();
    int ownWeight = weight(now);
    int totalWeight = Math.max(0, ownWeight - lease.weight(now, rank));
    totalWeight += leasedRanks.stream().map(other -> lease.weight(now, other)).sum();
    double leasedShare = (1 - settings.baseShare()) * ownWeight / totalWeight;
    return new BudgetShare(base + leasedShare, base, index, participants, lease.leaseEndMicros());
  }

  /**
   * Returns the weight by which this process may spend: the lowest of its recent requests, since
   * other processes may still count any of them.
   */
  public int weight(long now) {
    return requests.stream()
        .filter(request -> request.sentAtMicros() > now - settings.weightWindowMicros())
        .mapToInt(LeaseRequest::weight)
        .min()
        .orElse(1);
  }

  /**
   * Returns the number of messages ignored because they give another number of ranks, or because
   * they came from this process itself.
   */
  public long rankCountMismatches() {
    return rankCountMismatches;
  }

  /** Returns how often a grantor refused this rank's lease because another process holds it. */
  public long rankConflicts() {
    return rankConflicts;
  }
}
