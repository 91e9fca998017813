package ashspar.limits;

/**
 * What requests cost and are worth against each other: by their hints, their classes, and whether
 * their tenant is over his share. For one thread at a time.
 */
public final class RequestValues {
  /** Weight of one hint in their mean. */
  private static final double HINT_SMOOTHING = 0.05;

  /** A hint counts for so many mean ones at most, and for one such part of one at least. */
  private static final double MAX_COST = 10;

  private static final double MIN_COST = 0.1;

  private final TenantShares shares;
  private final LoadEstimate estimate;

  /** Mean of the hints, 0 while there is none. */
  private double meanHint;

  private double highestValue;
  private double overShareValue;

  RequestValues(TenantShares shares, LoadEstimate estimate) {
    this.shares = shares;
    this.estimate = estimate;
  }

  /** New settings: their classes are told anew. */
  void configure(double overShareWorth) {
    highestValue = 1e-3;
    overShareValue = overShareWorth;
  }

  /** One of the settings' classes has this worth. */
  public void addClass(double worth) {
    highestValue = Math.max(highestValue, worth);
  }

  /** A request has come with this hint at its load, 0 for none. */
  public void recordHint(double hint) {
    if (hint > 0) {
      meanHint = meanHint == 0 ? hint : meanHint + HINT_SMOOTHING * (hint - meanHint);
    }
  }

  /** A request's load against the mean request's, by its hint or else by what its class tells. */
  public double relativeCost(double hint, String type) {
    return hint > 0 && meanHint > 0
        ? Math.min(MAX_COST, Math.max(MIN_COST, hint / meanHint))
        : estimate.relativeLoad(type);
  }

  /** A class's worth against the worthiest one's; little where the tenant is over his share. */
  public double relativeValue(double worth, String tenant) {
    return worth / highestValue * (shares.isOverShare(tenant) ? overShareValue : 1);
  }
}
