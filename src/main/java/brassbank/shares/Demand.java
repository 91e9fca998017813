package brassbank.shares;

/**
 * How many clients come to this process, and what that weighs against the others' mean. For one
 * thread at a time; times are microseconds.
 */
final class Demand {
  /** Counted over about this long. */
  private static final double TAU = 5_000_000;

  /** A process that has just started does not know yet. */
  private static final long KNOWN = 10_000_000;

  private static final double PER = 10_000_000;

  /** Taken to come to each besides, in ten seconds: a few more or less of a few mean nothing. */
  private static final double PRIOR = 10;

  /** Up to so many times the mean, or down to its inverse, all weigh alike. */
  private static final double ALIKE = 2;

  private final long startedAt;
  private long lookedAt;
  private long taken = -1; // not looked at yet
  private double rate;

  Demand(long now) {
    startedAt = now;
    lookedAt = now;
  }

  /** So many clients have come in all. */
  void look(long now, long all) {
    long passed = now - lookedAt;
    if (taken < 0) {
      taken = all;
    }
    if (passed > 0) {
      double kept = Math.exp(-passed / TAU);
      rate = kept * rate + (1 - kept) * (all - taken) / (double) passed;
      taken = all;
      lookedAt = now;
    }
  }

  /** Clients in ten seconds. */
  int count() {
    return (int) Math.min(LeaseMessage.MAX_DEMAND, Math.round(rate * PER));
  }

  /** What this process is to weigh where the mean count is this; NaN where that is not known. */
  int weight(long now, double mean) {
    if (Double.isNaN(mean) || now - startedAt < KNOWN) {
      return LeaseMessage.DEFAULT_WEIGHT;
    }
    double times = (count() + PRIOR) / (mean + PRIOR);
    if (times < ALIKE && times > 1 / ALIKE) {
      return LeaseMessage.DEFAULT_WEIGHT;
    }
    long weight = Math.round(LeaseMessage.DEFAULT_WEIGHT * times);
    return (int) Math.min(LeaseMessage.MAX_WEIGHT, Math.max(1, weight));
  }
}
