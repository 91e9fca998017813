package brassbank.shares;

import java.util.BitSet;
import java.util.Collections;
import java.util.List;

/**
 * A message of the lease protocol.
 *
 * @param process identifies the sender's process start: a random number
 * @param rank the sender's rank
 * @param rankCount the number of ranks in the sender's configuration
 * @param sequence matches an answer to its request
 * @param ranks in {@link Kind#HELD} the ranks whose lease the sender has granted; in {@link
 *     Kind#OTHER_LEAVES} the rank that holds the permit to drain; otherwise empty
 * @param weights the weights of these leases in ascending order of rank, in {@link Kind#HELD};
 *     otherwise empty
 * @param weight the weight of the requested lease, from 1 to {@link #MAX_WEIGHT}
 * @param demand clients per ten seconds: of the requester, or in {@link Kind#HELD} of all lease
 *     holders together
 */
public record LeaseMessage(
    Kind kind,
    long process,
    int rank,
    int rankCount,
    int sequence,
    BitSet ranks,
    List<Integer> weights,
    int weight,
    int demand) {
  /** Maximum number of ranks in a fleet. */
  public static final int MAX_RANKS = 256;

  /** The weight of a process with about the mean number of clients. */
  public static final int DEFAULT_WEIGHT = 4;

  /** Limits a share to four times that of the default weight. */
  public static final int MAX_WEIGHT = 16;

  /** Maximum demand of one process; the sum over a fleet fits into four bytes. */
  public static final int MAX_DEMAND = 1_000_000;

  /** The purpose of a message. The ordinal is the number in the datagram. */
  public enum Kind {
    /** Requests the lease of the sender's rank. */
    ASK,
    /** Grants the requester's lease and lists all leases that the sender has granted. */
    HELD,
    /**
     * Refuses the lease: another process of the requester's rank holds it, or the sender is not a
     * grantor.
     */
    TAKEN,
    /** Releases the lease: the sender no longer spends its share. */
    GIVE_BACK,
    /** Requests the permit to drain on an operator's command. */
    LEAVE,
    /** Grants the permit to drain. */
    GO,
    /** Refuses the permit: the one rank in {@link LeaseMessage#ranks} holds it. */
    OTHER_LEAVES,
    /** Releases the permit: the sender does not drain. */
    STAYS
  }

  public LeaseMessage {
    if (rankCount < 1
        || rankCount > MAX_RANKS
        || rank < 0
        || rank >= rankCount
        || ranks.length() > rankCount) {
      throw new IllegalArgumentException(
          "rank " + rank + " or ranks " + ranks + " out of bounds, " + rankCount + " ranks");
    }
    weights = List.copyOf(weights);
    if (weights.size() != (kind == Kind.HELD ? ranks.cardinality() : 0)
        || weight < 1
        || weight > MAX_WEIGHT
        || demand < 0
        || weights.stream().anyMatch(each -> each < 1 || each > MAX_WEIGHT)) {
      throw new IllegalArgumentException(
          "weight " + weight + ", demand " + demand + " or weights " + weights + " out of bounds");
    }
  }

  /** Creates a message whose leases all have the default weight. */
  public LeaseMessage(
      Kind kind, long process, int rank, int rankCount, int sequence, BitSet ranks) {
    this(
        kind,
        process,
        rank,
        rankCount,
        sequence,
        ranks,
        kind == Kind.HELD
            ? Collections.nCopies(ranks.cardinality(), DEFAULT_WEIGHT)
            : Collections.emptyList(),
        DEFAULT_WEIGHT,
        0);
  }
}
