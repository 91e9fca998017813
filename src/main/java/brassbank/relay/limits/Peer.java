package brassbank.relay.limits;

/** One end of a session: the bytes queued for it and the unfinished line that it is sending. */
final class Peer {
  static final long NO_LINE = Long.MIN_VALUE;

  final SessionPeers session;
  final Side side;

  /** Bytes queued for the peer now. */
  long queuedBytes;

  /** Set while bytes are queued and for some time after; idle sessions have none. */
  Backlog backlog;

  /** When the unfinished line began, or {@link #NO_LINE}. */
  long lineStartMicros = NO_LINE;

  /** Index in the list of watched peers, or -1. */
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

  /**
   * Returns the severity of the backlog: queued bytes times age in microseconds, so that neither a
   * recent nor a small backlog ranks first.
   */
  double severity(long now) {
    return (double) queuedBytes * (ageMicros(now) + 1);
  }
}
