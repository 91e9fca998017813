package brassbank.gateway.link.tls;

import brassbank.gateway.link.frame.GatewayName;

/** Whether a gateway may speak here; called on whatever thread a handshake works. */
public interface PeerCheck {
  /**
   * @return why it may not, or null
   */
  String refuse(GatewayName gateway);
}
