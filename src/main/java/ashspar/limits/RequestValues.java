package ashspar.limits;

/**
 * The costs and values of requests relative to each other, from their load hints, their classes,
 * and whether their tenant is over its share. Not thread-safe.
 */
public final class RequestValues {
  /** The weight of one hint in the mean. */
  private static final double HINT_SMOOTHING = 0.05;

  /** The bounds of a request's cost, in mean requests. */
  private static final double MAX_COST = 10;

  private static final double MIN_COST = 0.1;

  private final TenantShares shares;
  private final LoadEstimate estimate;

  /** The mean of the hints, 0 if there are none. */
  private double meanHint;

  private double highestValue;
  private double overShareValue;

  RequestValues(TenantShares shares, LoadEstimate estimate) {
    this.shares = shares;
    this.estimate = estimate;
  }

  /** Resets the values for new settings; their classes follow through {@link #addClass}. */
  void configure(double newOverShareValue) {
    highestValue = 1e-3;
    overShareValue = newOverShareValue;
  }

  /** Adds a class with this value. */
  public void addClass(double value) {
    highestValue = Math.max(highestValue, value);
  }

  /** Records the load hint of a request, 0 for none. */
  public void recordHint(double hint) {
    if (hint > 0) {
      meanHint = meanHint == 0 ? hint : meanHint + HINT_SMOOTHING * (hint - meanHint);
    }
  }

  /**
   * Returns the load of a request relative to the mean request, from its hint or else from its
   * class.
   */
  public double relativeCost(double hint, String requestClass) {
    return hint > 0 && meanHint > 0
        ? Math.min(MAX_COST, Math.max(MIN_COST, hint / meanHint))
        : estimate.relativeLoad(requestClass);
  }

  /**
   * Returns the value of a class relative to the most valuable one, reduced if the tenant is over
   * its share.
   */
  public double relativeValue(double value, String tenant) {
    return value / highestValue * (shares.isOverShare(tenant) ? overShareValue : 1);
  }
}
