package brassbank.relay.limits;

/** One end of a session: what waits for it, and the line that it has begun. */
final class Peer {
  static final long NO_LINE = Long.MIN_VALUE;

  final SessionPeers session;
  final Side side;

  /** Bytes that wait for it now. */
  long queuedBytes;

  /** While something waits, and for a while after: kept off sessions that idle. */
  Backlog backlog;

  /** When the line that is not finished began, or NONE. */
  long lineStartMicros = NO_LINE;

  /** Its place among those that are watched, or -1. */
  int watchedIndex = -1;

  Peer(SessionPeers session, Side side) {
    this.session = session;
    this.side = side;
  }

  boolean isBehind() {
    return queuedBytes > 0;
  }

  long ageMicros(long now) {
    return isBehind() ? now - backlog.oldestByteMicros() : 0;
  }

  /** How bad it is: bytes times microseconds, so that neither a young nor a small backlog leads. */
  double severity(long now) {
    return (double) queuedBytes * (ageMicros(now) + 1);
  }
}
