package brassbank.subsets;

/**
 * A proxy that accepts clients, or a stream host.
 *
 * @param name unique among the proxies or among the hosts, and the same in every proxy's view
 * @param zone empty if unknown
 */
public record Peer(String name, String zone) {
  public Peer {
    zone = zone == null ? "" : zone;
  }
}
