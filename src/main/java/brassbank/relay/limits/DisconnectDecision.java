package brassbank.relay.limits;

/**
 * The decision to disconnect a slow peer. A session gets at most two of them: a graceful one, which
 * leaves the client time to read a final line, and later an immediate one.
 *
 * @param immediate whether the session ends at once, because its memory is needed; otherwise the
 *     client may read its final line first
 * @param queuedBytes the bytes queued for the peer
 * @param ageMicros how long the oldest of them has been queued; 0 if there are none
 */
public record DisconnectDecision(
    SessionPeers session,
    Side side,
    Reason reason,
    boolean immediate,
    long queuedBytes,
    long ageMicros) {

  /** The limit that the peer exceeded; logged in lower case. */
  public enum Reason {
    /** A byte was queued for longer than {@link SideLimits#maxAgeMicros}. */
    AGE,
    /** The peer read less than {@link SideLimits#minBytesPerSecond} over the window. */
    RATE,
    /** The peer did not finish a line within {@link SideLimits#maxLineMicros}. */
    LINE,
    /** The practice's budget is exceeded, and its sessions are ended by severity. */
    PRACTICE_BUDGET,
    /** The budget of all sessions is exceeded, and sessions are ended by severity. */
    BUDGET,
    /** The memory of all sessions is exhausted, and sessions are ended by severity. */
    MEMORY
  }
}
