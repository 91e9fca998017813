package brassbank.shares;

import java.util.BitSet;

/**
 * What processes say to each other of seats.
 *
 * @param process the sender's life: a number by chance, new with each start
 * @param rank the sender's
 * @param of how many ranks there are by the sender's file
 * @param sequence ties an answer to its asking
 * @param seats ranks that have a seat with the sender, in {@link Kind#HELD}; who leaves, in {@link
 *     Kind#OTHER_LEAVES}; else empty
 */
public record SeatMessage(Kind kind, long process, int rank, int of, int sequence, BitSet seats) {
  /** Ranks that one fleet may have. */
  public static final int MOST_RANKS = 256;

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

  public SeatMessage {
    if (of < 1 || of > MOST_RANKS || rank < 0 || rank >= of || seats.length() > of) {
      throw new IllegalArgumentException("rank " + rank + " of " + of);
    }
  }
}
