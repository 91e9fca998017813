package brassbank.route;

import java.util.LinkedHashMap;
import java.util.Map;

/** What is known of one life of a peer: its clock, its links that are up. */
final class Gateway {
  final Peer peer;
  final long incarnation;
  final PeerClock clock = new PeerClock();
  final Map<Long, Line> lines = new LinkedHashMap<>();

  /** When it was heard last, or its last link ended. */
  long heardAt;

  Gateway(Peer peer, long incarnation, long now) {
    this.peer = peer;
    this.incarnation = incarnation;
    this.heardAt = now;
  }
}
