package brassbank.relay.limits;

/** The state that {@link PeerLimits} keeps of one established session and its two peers. */
public final class SessionPeers {
  final long id;
  final Practice practice;

  /**
   * Set while the peer is behind or has an unfinished line, and for some time after; null in idle
   * sessions. The same holds for {@code target}.
   */
  private Peer client;

  private Peer target;

  private boolean clientPaused;
  private boolean targetPaused;

  boolean closed;

  /** The session is ending: a graceful or an immediate disconnect was decided, or it has ended. */
  boolean disconnecting;

  /** An immediate disconnect was decided. */
  boolean disconnected;

  SessionPeers(long id, Practice practice) {
    this.id = id;
    this.practice = practice;
  }

  /** Returns the number with which the session was opened. */
  public long id() {
    return id;
  }

  /** Returns the practice with which the session was opened. */
  public String practice() {
    return practice.name;
  }

  /** Returns the peer of a side, creating it if necessary. */
  Peer getOrCreate(Side side) {
    if (side == Side.CLIENT) {
      client = client == null ? new Peer(this, Side.CLIENT) : client;
      return client;
    }
    target = target == null ? new Peer(this, Side.TARGET) : target;
    return target;
  }

  /** Returns the peer of a side, or null if there is none. */
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

  /** Records whether the relay reads this side. */
  void setRead(Side side, boolean isRead) {
    if (side == Side.CLIENT) {
      clientPaused = !isRead;
    } else {
      targetPaused = !isRead;
    }
  }

  /** Returns whether the relay reads this side. */
  boolean isRead(Side side) {
    return side == Side.CLIENT ? !clientPaused : !targetPaused;
  }

  /** Returns the number of bytes queued for this side. */
  public long queuedBytes(Side side) {
    Peer peer = get(side);
    return peer == null ? 0 : peer.queuedBytes;
  }
}
