package brassbank.gateway.link.mux;

import brassbank.gateway.link.frame.Answer;

/**
 * How a session has ended.
 *
 * @param answer the far side's, where {@code how} is ANSWERED, and null otherwise
 * @param code why the other side reset it, see {@link ResetCode}, where {@code how} is RESET
 * @param waitMicros where {@code how} is LINK, and no answer had come to this opener: the attempt
 *     may be out so much longer, and no other of its flow may go anywhere before; 0 otherwise
 */
public record Ending(How how, Answer answer, int code, long waitMicros) {
  /** The ways in which a session ends. */
  public enum How {
    /** The opener's attempt came to nothing, by the far side's answer; it is out no longer. */
    ANSWERED,
    /**
     * The opener gave its attempt up unanswered, and the far side says that it is out no longer.
     */
    GIVEN_UP,
    /** No answer came to the opener within the lease and its margin: it is out no longer. */
    LAPSED,
    /** The far side's lease has run out: it gives the attempt, or what it has set up, up now. */
    LEASE,
    /** Both sides have ended their sending. */
    FINISHED,
    /** The other side has reset it. */
    RESET,
    /** Its link has ended. */
    LINK
  }

  static Ending of(How how) {
    return new Ending(how, null, 0, 0);
  }
}
