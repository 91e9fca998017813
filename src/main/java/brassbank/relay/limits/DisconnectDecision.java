package brassbank.relay.limits;

/**
 * A peer that is given up. A session gets two of them at most: one that leaves time for a farewell,
 * and later one that does not.
 *
 * @param immediate its memory is needed now; else it may read its last line first
 * @param queuedBytes bytes that wait for it
 * @param ageMicros how long the oldest of them has waited, 0 where none does
 */
public record DisconnectDecision(
    SessionPeers session,
    Side side,
    Reason reason,
    boolean immediate,
    long queuedBytes,
    long ageMicros) {

  /** Which limit it was. */
  public enum Reason {
    /** A byte has waited for longer than {@link SideLimits#maxAgeMicros}. */
    AGE,
    /** It has read less than {@link SideLimits#minBytesPerSecond} over the window. */
    RATE,
    /** It has not finished a line within {@link SideLimits#maxLineMicros}. */
    LINE,
    /** The worst offender of a practice that is over its budget. */
    PRACTICE_BUDGET,
    /** The worst offender of all, which are over theirs. */
    BUDGET
  }
}
