package brassbank.lifecycle;

/** An event that can change the proxy's {@link State}. */
public enum Event {
  /** The proxy has begun to accept connections. */
  SERVING,

  /** An operator asks the proxy to move its clients away and to stand by. */
  STANDBY,

  /** An operator asks the proxy to accept clients. */
  ACTIVE,

  /** A drain is complete. */
  GONE,

  /** The program must exit. */
  STOP
}
