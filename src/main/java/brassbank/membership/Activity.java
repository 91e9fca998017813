package brassbank.membership;

/** The lifecycle phase that a member announces of itself. */
public enum Activity {
  STARTING,
  ACTIVE,
  DRAINING,
  STANDBY,
  STOPPING
}
