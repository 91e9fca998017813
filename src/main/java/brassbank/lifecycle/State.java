package brassbank.lifecycle;

/** What the proxy is now, as operators see it. */
public enum State {
  /** Not yet able to serve: it asks for patience. */
  STARTING,

  /** Takes clients. */
  ACTIVE,

  /** Takes no new clients but serves what still arrives, and sends all of them away. */
  DRAINING,

  /** Holds no client and takes none; it lives on, so that it can be called back at once. */
  STANDBY,

  /** Will end: as draining, and nothing brings it back. */
  STOPPING;

  /** Whether the clients are to go, or have gone. */
  public boolean isLeaving() {
    return this == DRAINING || this == STANDBY || this == STOPPING;
  }
}
