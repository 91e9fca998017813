package brassbank.gateway.link;

import java.util.Locale;

/** How a link ends. */
public enum LinkEnd {
  /** Both sides agreed, with nothing left on it. */
  CLOSED,
  /** This gateway stops, or has the peer in its configuration no longer. */
  STOPPED,
  /** It was reset, or has ended without a word. */
  BROKEN,
  /** Nothing came for too long, or a heartbeat went unanswered. */
  SILENT,
  /** It was not up in time. */
  LATE,
  /** The peer is not let in, or speaks another major version. */
  REFUSED,
  /** The peer refused this gateway. */
  REFUSED_BY_PEER,
  /** What came breaks the protocol. */
  VIOLATION,
  /** The peer has started anew since. */
  RESTARTED;

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
