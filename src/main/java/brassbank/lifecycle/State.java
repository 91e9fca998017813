package brassbank.lifecycle;

/** The state of the proxy, as operators see it. */
public enum State {
  /** The proxy cannot serve yet; clients are asked to wait. */
  STARTING,

  /** The proxy accepts clients. */
  ACTIVE,

  /**
   * The proxy moves all clients away and solicits no new ones, but serves those that still come.
   */
  DRAINING,

  /** The proxy holds no clients and accepts none, but runs on so that it can be reactivated. */
  STANDBY,

  /** The proxy moves all clients away and then exits; no event leads out of this state. */
  STOPPING;

  /** Whether the proxy is moving its clients away or has done so. */
  public boolean isLeaving() {
    return this == DRAINING || this == STANDBY || this == STOPPING;
  }
}
