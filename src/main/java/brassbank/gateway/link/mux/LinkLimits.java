package brassbank.gateway.link.mux;

/**
 * What one link may take of this gateway. A session costs the receiver {@code credit} bytes at most
 * until it has used that up once, and {@code window} after; a sender {@code sendBuffer}.
 *
 * @param sessions how many the other side may have open at a time
 * @param credit bytes that the other side may send on a new session
 * @param window bytes that it may send on one that has used {@code credit} up, while {@code
 *     windows} allows
 * @param windows what all sessions of the link may be given beyond {@code credit}, in bytes
 * @param sendBuffer bytes of a session that wait here for credit or for their turn
 * @param sendBuffers the same for all sessions of the link; each may have {@code credit} beside
 * @param heartbeatMicros how often the round trip is measured
 * @param silenceMicros how long the other side may say nothing, or leave a heartbeat unanswered
 * @param marginMicros what is waited beyond a lease and the round trip, for the other side's
 *     timers, for clocks that drift, and for its ending an attempt
 */
public record LinkLimits(
    int sessions,
    int credit,
    int window,
    long windows,
    int sendBuffer,
    long sendBuffers,
    long heartbeatMicros,
    long silenceMicros,
    long marginMicros) {

  /** 4,096 sessions on a link; 50 MB at most for what they have sent and nobody has read. */
  public static final LinkLimits DEFAULTS =
      new LinkLimits(
          4096, 4 << 10, 64 << 10, 32L << 20, 64 << 10, 32L << 20, 300_000, 1_500_000, 100_000);

  /**
   * @throws IllegalArgumentException where figures contradict one another
   */
  public LinkLimits {
    if (sessions < 1 || sessions > 1 << 24 || credit < 1 || window < credit) {
      throw new IllegalArgumentException("1 to 16 Mi sessions, and a window no less than credit");
    }
    if (windows < 0 || sendBuffer < credit || sendBuffers < 0) {
      throw new IllegalArgumentException("a send buffer is no less than credit");
    }
    if (heartbeatMicros < 1_000 || silenceMicros < 2 * heartbeatMicros || marginMicros < 0) {
      throw new IllegalArgumentException("silence is two heartbeats or more, each 1 ms or more");
    }
  }
}
