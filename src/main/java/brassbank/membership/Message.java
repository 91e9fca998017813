package brassbank.membership;

import java.util.List;

/**
 * The content of one datagram.
 *
 * @param sequence matches an answer to its request; 0 for a {@link Kind#PULL} that is itself the
 *     second half of an exchange
 * @param sender the sender's own entry
 * @param digest a hash of the sender's live members: equal for equal views, and almost never equal
 *     for different ones
 * @param target the member that a {@link Kind#PING}, {@link Kind#PING_REQ} or relayed {@link
 *     Kind#ACK} concerns; otherwise empty
 */
public record Message(
    Kind kind, int sequence, Update sender, long digest, String target, List<Update> updates) {

  /**
   * Bytes of a datagram other than names and updates: magic number, version, kind, fleet, sequence,
   * digest, length of the target, number of updates, checksum.
   */
  public static final int FIXED_BYTES = 2 + 1 + 1 + 8 + 4 + 8 + 1 + 1 + 4;

  /**
   * Maximum size of a datagram; it fits into the MTU of every common network without fragmentation.
   */
  public static final int MAX_BYTES = 1_200;

  /** Maximum number of updates in one datagram. */
  public static final int MAX_UPDATES = 64;

  /** The purpose of a message. The ordinal is the number in the datagram. */
  public enum Kind {
    /** Probes the target. */
    PING,
    /** Answers a {@link #PING}. */
    ACK,
    /** Requests that the receiver ping the target on the sender's behalf. */
    PING_REQ,
    /**
     * Reports to the requester of a {@link #PING_REQ} that the target has not answered so far
     * (Lifeguard).
     */
    NACK,
    /** Carries updates only. */
    GOSSIP,
    /** Requests the receiver's whole view. */
    PULL,
    /** Carries a part of the sender's whole view. */
    VIEW
  }

  public Message {
    updates = List.copyOf(updates);
  }
}
