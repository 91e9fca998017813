package brassbank.shares;

/**
 * Whether this process may leave by its operators' call; a value.
 *
 * @param other the rank that leaves instead, or one below zero
 */
public record DrainPermit(Status status, int otherRank) {
  static final DrainPermit ASKED = new DrainPermit(Status.PENDING, -1);
  static final DrainPermit GO = new DrainPermit(Status.GRANTED, -1);

  /** What is known. */
  public enum Status {
    /** Not yet known. */
    PENDING,
    /** It may, now. */
    GRANTED,
    /** Another leaves. */
    OTHER_DRAINS,
    /** Too few others have a seat to carry what it holds. */
    TOO_FEW_LEASES,
    /** No majority of keepers answers. */
    NO_MAJORITY
  }

  static DrainPermit of(Status answer) {
    return new DrainPermit(answer, -1);
  }
}
