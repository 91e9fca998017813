package brassbank.gateway.link.tls;

import brassbank.gateway.link.frame.GatewayName;
import java.nio.ByteBuffer;

/** Makes the guards of new connections, all with the same keys. */
public interface Guards {
  /** Who this gateway says it is. */
  GatewayName gateway();

  /**
   * @param dialled whether this side has opened the connection
   * @param check whether the peer may speak here
   * @param resumed runs on the loop once a guard that was busy can go on
   */
  Guard guard(boolean dialled, PeerCheck check, Runnable resumed);

  /**
   * Guards that let everything pass both ways, and so believe whoever says a name: for runs without
   * a wire, such as simulations. A gateway that anyone can connect to must not use them.
   */
  static Guards plain(GatewayName gateway) {
    return new Guards() {
      @Override
      public GatewayName gateway() {
        return gateway;
      }

      @Override
      public Guard guard(boolean dialled, PeerCheck check, Runnable resumed) {
        return new PlainGuard();
      }
    };
  }

  /** Moves as many bytes as there is room for. */
  static void move(ByteBuffer from, ByteBuffer to) {
    int count = Math.min(from.remaining(), to.remaining());
    to.put(from.slice(from.position(), count));
    from.position(from.position() + count);
  }
}
