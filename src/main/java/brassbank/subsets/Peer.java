package brassbank.subsets;

/**
 * A proxy that takes clients, or a stream host.
 *
 * @param name unique among its kind, and the same for whoever sees it
 * @param zone empty where none is told
 */
public record Peer(String name, String zone) {
  public Peer {
    zone = zone == null ? "" : zone;
  }
}
