package ashspar.limits;

/**
 * How long an attempt is waited for: many times what servers take now, so that a lost request costs
 * no whole deadline. Times are microseconds. For one thread at a time.
 */
public final class Patience {
  /** An attempt is waited for at least so long, or so many times what servers take on average. */
  private static final long LEAST = 600_000;

  private static final double TIMES = 8;

  /** Weight of one attempt in that average. */
  private static final double STEP = 0.1;

  private double mean = LEAST / TIMES;

  /** An attempt was accepted after so long. */
  public void accepted(long elapsed) {
    mean += STEP * (elapsed - mean);
  }

  /** An attempt was waited for in vain for so long. */
  public void timedOut(long elapsed) {
    mean += STEP * Math.max(0, elapsed - mean);
  }

  /** Whether a wait was so short that its end tells nothing of the server. */
  public boolean tooShort(long elapsed) {
    return elapsed < 2 * mean;
  }

  /** How long is enough, as things are. */
  public long usual() {
    return Math.max(LEAST, (long) (TIMES * mean));
  }
}
