package brassbank.relay.limits;

/** The two peers of one standing session, as {@link PeerLimits} knows them. */
public final class SessionPeers {
  final long id;
  final Practice practice;

  /** Only where something waits or has begun, or did so lately: idle sessions have none. */
  private Peer client;

  private Peer target;

  boolean closed;

  /** Given up politely, or at once. */
  boolean disconnecting;

  /** Given up at once. */
  boolean disconnected;

  SessionPeers(long id, Practice practice) {
    this.id = id;
    this.practice = practice;
  }

  /** The number it was opened with. */
  public long id() {
    return id;
  }

  /** The practice it was opened with. */
  public String practice() {
    return practice.name;
  }

  /** The peer of a side, made where there is none. */
  Peer getOrCreate(Side side) {
    if (side == Side.CLIENT) {
      client = client == null ? new Peer(this, Side.CLIENT) : client;
      return client;
    }
    target = target == null ? new Peer(this, Side.TARGET) : target;
    return target;
  }

  /** The peer of a side, or null where there is none. */
  Peer get(Side side) {
    return side == Side.CLIENT ? client : target;
  }

  void forget(Side side) {
    if (side == Side.CLIENT) {
      client = null;
    } else {
      target = null;
    }
  }

  /** Bytes that wait for this side. */
  long queuedBytes(Side side) {
    Peer peer = get(side);
    return peer == null ? 0 : peer.queuedBytes;
  }
}
