package brassbank.lifecycle;

/** What can change the proxy's {@link State}. */
public enum Event {
  /** The proxy takes connections. */
  SERVING,

  /** An operator asks to have the clients sent away. */
  STANDBY,

  /** An operator asks to have clients taken. */
  ACTIVE,

  /** The departure is over. */
  GONE,

  /** The program is to end. */
  STOP
}
