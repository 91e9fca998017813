package brassbank.relay.limits;

/** The side of a session on which a peer is. */
public enum Side {
  CLIENT,
  TARGET;

  Side other() {
    return this == CLIENT ? TARGET : CLIENT;
  }
}
