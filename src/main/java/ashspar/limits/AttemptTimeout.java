package ashspar.limits;

/**
 * The time to wait for the answer to an attempt: a multiple of the mean set-up time, so that a lost
 * attempt does not use up the whole deadline of its request. Times are microseconds. Not
 * thread-safe.
 */
public final class AttemptTimeout {
  /** The lower bound of the timeout, and the multiple of the mean set-up time. */
  private static final long MIN_TIMEOUT_MICROS = 600_000;

  private static final double MEAN_MULTIPLE = 8;

  /** The weight of one attempt in the mean. */
  private static final double SMOOTHING = 0.1;

  private double mean = MIN_TIMEOUT_MICROS / MEAN_MULTIPLE;

  /** Records an attempt that was accepted after {@code elapsed}. */
  public void recordAccepted(long elapsed) {
    mean += SMOOTHING * (elapsed - mean);
  }

  /** Records an attempt that timed out after {@code elapsed}. */
  public void recordTimeout(long elapsed) {
    mean += SMOOTHING * Math.max(0, elapsed - mean);
  }

  /**
   * Returns whether a time-out after {@code elapsed} came too early to indicate a fault of the
   * server.
   */
  public boolean isInconclusive(long elapsed) {
    return elapsed < 2 * mean;
  }

  /** Returns the current timeout. */
  public long timeoutMicros() {
    return Math.max(MIN_TIMEOUT_MICROS, (long) (MEAN_MULTIPLE * mean));
  }
}
