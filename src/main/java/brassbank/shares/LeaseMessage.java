package brassbank.shares;

import java.util.BitSet;
import java.util.Collections;
import java.util.List;

/**
 * What processes say to each other of seats.
 *
 * @param process the sender's life: a number by chance, new with each start
 * @param rank the sender's
 * @param of how many ranks there are by the sender's file
 * @param sequence ties an answer to its asking
 * @param seats ranks that have a seat with the sender, in {@link Kind#HELD}; who leaves, in {@link
 *     Kind#OTHER_LEAVES}; else empty
 * @param weights of those seats in the order of their ranks, in HELD; else empty
 * @param weight of the seat that is asked for, from 1 to {@link #MAX_WEIGHT}
 * @param demand clients that come to the asker in ten seconds; in HELD to all with a seat together
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
  /** Ranks that one fleet may have. */
  public static final int MAX_RANKS = 256;

  /** What a seat weighs whose process has about as many clients as others. */
  public static final int DEFAULT_WEIGHT = 4;

  /** Nobody's part is more than four times the usual one's. */
  public static final int MAX_WEIGHT = 16;

  /** Of one process; a fleet's sum has room in four bytes. */
  public static final int MAX_DEMAND = 1_000_000;

  /** What is said. */
  public enum Kind {
    /** Asks for the sender's seat. */
    ASK,
    /** The asker's seat is held, and these are all that are. */
    HELD,
    /** Another process of the asker's rank has its seat. */
    TAKEN,
    /** The sender has stopped spending with its seat. */
    GIVE_BACK,
    /** Asks whether the sender may leave now, by operators' call. */
    LEAVE,
    /** Nobody else leaves, as far as this keeper knows, and the asker is let go. */
    GO,
    /** Another leaves: the one rank among the seats. */
    OTHER_LEAVES,
    /** The sender does not leave after all. */
    STAYS
  }

  public LeaseMessage {
    if (rankCount < 1
        || rankCount > MAX_RANKS
        || rank < 0
        || rank >= rankCount
        || ranks.length() > rankCount) {
      throw new IllegalArgumentException("rank " + rank + " of " + rankCount);
    }
    weights = List.copyOf(weights);
    if (weights.size() != (kind == Kind.HELD ? ranks.cardinality() : 0)
        || weight < 1
        || weight > MAX_WEIGHT
        || demand < 0
        || weights.stream().anyMatch(one -> one < 1 || one > MAX_WEIGHT)) {
      throw new IllegalArgumentException("weights " + weight + " and " + weights);
    }
  }

  /** One whose seats weigh as usual. */
  public LeaseMessage(Kind kind, long process, int rank, int of, int sequence, BitSet seats) {
    this(
        kind,
        process,
        rank,
        of,
        sequence,
        seats,
        kind == Kind.HELD
            ? Collections.nCopies(seats.cardinality(), DEFAULT_WEIGHT)
            : Collections.emptyList(),
        DEFAULT_WEIGHT,
        0);
  }
}
