package ashspar.limits;

/**
 * How long an attempt is waited for: many times what servers take now, so that a lost request costs
 * no whole deadline. Times are microseconds. For one thread at a time.
 */
public final class AttemptTimeout {
  /** An attempt is waited for at least so long, or so many times what servers take on average. */
  private static final long MIN_TIMEOUT_MICROS = 600_000;

  private static final double MEAN_MULTIPLE = 8;

  /** Weight of one attempt in that average. */
  private static final double SMOOTHING = 0.1;

  private double mean = MIN_TIMEOUT_MICROS / MEAN_MULTIPLE;

  /** An attempt was accepted after so long. */
  public void recordAccepted(long elapsed) {
    mean += SMOOTHING * (elapsed - mean);
  }

  /** An attempt was waited for in vain for so long. */
  public void recordTimeout(long elapsed) {
    mean += SMOOTHING * Math.max(0, elapsed - mean);
  }

  /** Whether a wait was so short that its end tells nothing of the server. */
  public boolean isInconclusive(long elapsed) {
    return elapsed < 2 * mean;
  }

  /** How long is enough, as things are. */
  public long timeoutMicros() {
    return Math.max(MIN_TIMEOUT_MICROS, (long) (MEAN_MULTIPLE * mean));
  }
}
