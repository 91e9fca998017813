package brassbank.gateway.link;

import brassbank.gateway.link.frame.GatewayName;
import brassbank.gateway.link.mux.LinkLimits;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What links a gateway has.
 *
 * @param peers the gateways that may speak with this one; each once
 * @param limits of each link
 * @param setupMicros how long a connection may take from its begin until sessions can be opened
 * @param mostSetups connections that others have opened and that are not up yet
 * @param mostLinks links that one peer may have opened here
 * @param retryMicros the pause before a failed connection is tried again at first; it doubles
 * @param mostRetryMicros up to this
 * @param renewMicros how long after one link the next is renewed, where keys have changed
 */
public record LinkSettings(
    List<Peer> peers,
    LinkLimits limits,
    long setupMicros,
    int mostSetups,
    int mostLinks,
    long retryMicros,
    long mostRetryMicros,
    long renewMicros) {

  /**
   * A gateway that may speak with this one.
   *
   * @param address where to reach it; null where it is the one that connects
   * @param links how many to keep with it, where this gateway connects
   */
  public record Peer(GatewayName gateway, InetSocketAddress address, int links) {
    /**
     * @throws IllegalArgumentException where there are not 1 to 16 links
     */
    public Peer {
      if (links < 1 || links > 16) {
        throw new IllegalArgumentException("a peer has 1 to 16 links");
      }
    }
  }

  /**
   * @throws IllegalArgumentException where a peer stands twice, or a figure is out of its range
   */
  public LinkSettings {
    peers = List.copyOf(peers);
    Map<GatewayName, Peer> byName = new LinkedHashMap<>();
    for (Peer peer : peers) {
      if (byName.put(peer.gateway(), peer) != null) {
        throw new IllegalArgumentException(peer.gateway() + " stands twice");
      }
    }
    if (setupMicros < 1 || mostSetups < 1 || mostLinks < 1) {
      throw new IllegalArgumentException("connections need time and room to be set up");
    }
    if (retryMicros < 1_000 || mostRetryMicros < retryMicros || renewMicros < 1_000) {
      throw new IllegalArgumentException("pauses are 1 ms or more");
    }
  }

  /** With everything but the peers as most will want it. */
  public static LinkSettings of(List<Peer> peers) {
    return new LinkSettings(
        peers, LinkLimits.DEFAULTS, 3_000_000, 16, 32, 100_000, 5_000_000, 1_000_000);
  }
}
