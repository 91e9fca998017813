package brassbank.membership;

/** What a member does, as it says itself. */
public enum Activity {
  STARTING,
  ACTIVE,
  DRAINING,
  STANDBY,
  STOPPING
}
