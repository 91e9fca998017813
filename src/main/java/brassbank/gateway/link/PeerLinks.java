package brassbank.gateway.link;

import brassbank.gateway.link.frame.GatewayName;
import brassbank.gateway.link.frame.Leave;
import brassbank.gateway.link.mux.Session;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The links to one peer, whichever side opened them, and the flows that it has sent over. */
final class PeerLinks {
  /** Of all links of the peer, a flow by its opener's incarnation and number. */
  private record Flow(long incarnation, long number) {}

  private final GatewayName gateway;

  /** Those that are up, in the order in which they came up. */
  private final List<GatewayLink> links = new ArrayList<>();

  private final Map<Flow, Session> flows = new LinkedHashMap<>();

  PeerLinks(GatewayName gateway) {
    this.gateway = gateway;
  }

  GatewayName gateway() {
    return gateway;
  }

  List<GatewayLink> links() {
    return links;
  }

  /** The link for the next session: no other has fewer, and it is to go on if any is. */
  GatewayLink best() {
    GatewayLink best = null;
    for (GatewayLink link : links) {
      if (link.canOpen() && (best == null || better(link, best))) {
        best = link;
      }
    }
    return best;
  }

  private static boolean better(GatewayLink link, GatewayLink than) {
    boolean stays = !link.leaving(Leave.Code.RENEW);
    boolean other = !than.leaving(Leave.Code.RENEW);
    return stays != other ? stays : link.sessions() < than.sessions();
  }

  /** Links opened by the peer. */
  int taken() {
    return (int) links.stream().filter(link -> !link.dialled()).count();
  }

  /** Links opened by this gateway that no other is to replace. */
  int kept() {
    return (int)
        links.stream().filter(link -> link.dialled() && !link.leaving(Leave.Code.RENEW)).count();
  }

  /** Whether the flow may come over here: no other attempt of it is here, on whichever link. */
  boolean admit(Session session) {
    return flows.putIfAbsent(flow(session), session) == null;
  }

  void died(Session session) {
    flows.remove(flow(session), session);
  }

  private static Flow flow(Session session) {
    return new Flow(session.attempt().incarnation(), session.attempt().flow());
  }
}
