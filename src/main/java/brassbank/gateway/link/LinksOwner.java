package brassbank.gateway.link;

import brassbank.gateway.link.frame.GatewayName;
import brassbank.gateway.link.frame.Leave;
import brassbank.gateway.link.frame.Room;
import brassbank.gateway.link.mux.Session;

/** Who owns a gateway's links and hears of them, on the loop's thread. */
public interface LinksOwner {
  /**
   * Another gateway sends an attempt over: {@link Session#attempt} says which, and it is the
   * callee's to {@link Session#answer}. What came over a link must not be sent over one again.
   *
   * @return who is told of the session
   */
  Session.Handler opened(GatewayName from, Session session);

  /**
   * Another gateway tells of its room. Tellings may come late, twice, and out of order; of one
   * incarnation the higher generation is the later.
   *
   * @param ageMicros how old the figure is now
   */
  default void room(GatewayName from, long incarnation, Room room, long ageMicros) {}

  /** Sessions can be opened on one more link to the peer. */
  default void up(GatewayName peer, GatewayLink link) {}

  /** The peer announces the end of a link; see {@link Leave.Code} for what that asks for. */
  default void leaving(GatewayName peer, GatewayLink link, Leave leave) {}

  /**
   * A link that had been up has ended; its sessions are told next.
   *
   * @param left how many links to the peer are up yet
   */
  default void down(GatewayName peer, GatewayLink link, LinkEnd how, int left) {}
}
