package ashspar.limits;

/**
 * What requests cost and are worth against each other: by their hints, their classes, and whether
 * their tenant is over his share. For one thread at a time.
 */
public final class Worths {
  /** Weight of one hint in their mean. */
  private static final double STEP = 0.05;

  /** A hint counts for so many mean ones at most, and for one such part of one at least. */
  private static final double MOST = 10;

  private static final double LEAST = 0.1;

  private final TenantShares shares;
  private final LoadEstimate estimate;

  /** Mean of the hints, 0 while there is none. */
  private double meanHint;

  private double top;
  private double overShare;

  Worths(TenantShares shares, LoadEstimate estimate) {
    this.shares = shares;
    this.estimate = estimate;
  }

  /** New settings: their classes are told anew. */
  void configure(double overShareWorth) {
    top = 1e-3;
    overShare = overShareWorth;
  }

  /** One of the settings' classes has this worth. */
  public void ofClass(double worth) {
    top = Math.max(top, worth);
  }

  /** A request has come with this hint at its load, 0 for none. */
  public void hinted(double hint) {
    if (hint > 0) {
      meanHint = meanHint == 0 ? hint : meanHint + STEP * (hint - meanHint);
    }
  }

  /** A request's load against the mean request's, by its hint or else by what its class tells. */
  public double cost(double hint, String type) {
    return hint > 0 && meanHint > 0
        ? Math.min(MOST, Math.max(LEAST, hint / meanHint))
        : estimate.against(type);
  }

  /** A class's worth against the worthiest one's; little where the tenant is over his share. */
  public double value(double worth, String tenant) {
    return worth / top * (shares.over(tenant) ? overShare : 1);
  }
}
