package brassbank.shares;

/**
 * The result of a request for the permit to drain; immutable.
 *
 * @param otherRank the rank that holds the permit instead; negative if none
 */
public record DrainPermit(Status status, int otherRank) {
  static final DrainPermit PENDING = new DrainPermit(Status.PENDING, -1);
  static final DrainPermit GRANTED = new DrainPermit(Status.GRANTED, -1);

  /** The state of the request. */
  public enum Status {
    /** The grantors' answers are not yet known. */
    PENDING,
    /** This process may drain now. */
    GRANTED,
    /** Another process holds the permit. */
    OTHER_DRAINS,
    /** Too few other processes hold a lease to take over this process's load. */
    TOO_FEW_LEASES,
    /** No majority of the grantors has answered. */
    NO_MAJORITY
  }

  static DrainPermit of(Status status) {
    return new DrainPermit(status, -1);
  }
}
