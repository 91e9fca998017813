package brassbank.route;

/** A gateway of another site, as its certificate and the configuration name it. */
public record Peer(String site, String name) {
  public Peer {
    if (site == null || site.isEmpty() || name == null || name.isEmpty()) {
      throw new IllegalArgumentException("a peer needs a site and a name");
    }
  }
}
