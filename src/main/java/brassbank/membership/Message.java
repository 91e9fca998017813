package brassbank.membership;

import java.util.List;

/**
 * One datagram's content.
 *
 * @param sequence ties an answer to its question; for {@link Kind#PULL} 0 where it answers another
 * @param sender who sends it, as it sees itself
 * @param digest of the sender's live members: equal for equal views, and for others almost never
 * @param target whom a {@link Kind#PING} or {@link Kind#PING_REQ} is meant for; else empty
 */
public record Message(
    Kind kind, int sequence, Update sender, long digest, String target, List<Update> updates) {

  /** Bytes of a datagram that carry no names: mark, version, kind, fleet and the figures. */
  public static final int FIXED_BYTES = 2 + 1 + 1 + 8 + 4 + 8 + 1 + 1 + 4;

  /** Bytes of a datagram at most, so that it passes every usual network in one piece. */
  public static final int MAX_BYTES = 1_200;

  /** Updates in one datagram at most. */
  public static final int MAX_UPDATES = 64;

  /** What it is for; SWIM's names in brackets where they differ. */
  public enum Kind {
    /** Are you there. */
    PING,
    /** Yes. */
    ACK,
    /** Ping that one for me [ping-req]. */
    PING_REQ,
    /** It has not answered me so far (Lifeguard). */
    NACK,
    /** Only what it carries [gossip]. */
    GOSSIP,
    /** Send me your whole view. */
    PULL,
    /** A part of a whole view. */
    VIEW
  }

  public Message {
    updates = List.copyOf(updates);
  }
}
