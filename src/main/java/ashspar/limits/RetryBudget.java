package ashspar.limits;

import java.util.Arrays;

/**
 * Limits repeated attempts, so that retries do not multiply the load of an outage (Google's SRE
 * book, chapter 21; Finagle's {@code RetryBudget}). Each repeat is paid from credit that served
 * requests earn, and in any ten seconds repeats are at most a fixed share of the requests. First
 * attempts are free and never delayed.
 *
 * <p>Times are microseconds. All operations take constant time. Not thread-safe.
 */
public final class RetryBudget {
  /** The window over which repeats are compared with requests. */
  public static final long WINDOW_MICROS = 10_000_000;

  /** The maximum number of repeats as a share of the requests in a window. */
  public static final double MAX_REPEAT_SHARE = 0.25;

  /**
   * The repeats allowed per window regardless of the number of requests, so that recovery is still
   * detected under low traffic.
   */
  public static final int MIN_REPEATS_PER_WINDOW = 3;

  /** The credit earned by a served request, in attempts. */
  private static final double CREDIT_PER_SERVED = 0.5;

  /**
   * The credit earned by the passing of time, in attempts per second. Without it, the end of an
   * outage was never noticed.
   */
  private static final double CREDIT_PER_SECOND = 0.5;

  private static final double MAX_CREDIT = 30;

  /**
   * The slices of a window. One more is kept, so that the sum covers a whole window at any time.
   */
  private static final int SLICES = 10;

  private static final long SLICE_MICROS = WINDOW_MICROS / SLICES;

  private final int[] requests = new int[SLICES + 1];
  private final int[] repeats = new int[SLICES + 1];
  private long slice = Long.MIN_VALUE;
  private double credit = MAX_CREDIT / 2;
  private long filledAt;
  private int requestSum;
  private int repeatSum;

  /** Creates a budget with half of the maximum credit. */
  public RetryBudget(long now) {
    filledAt = now;
    advance(now);
  }

  /** Records a request, including one that a client repeats. */
  public void recordRequest(long now) {
    advance(now);
    requests[index()]++;
    requestSum++;
  }

  /** Records that a request was served. */
  public void recordServed(long now) {
    advance(now);
    credit = Math.min(MAX_CREDIT, credit + CREDIT_PER_SERVED);
  }

  /** Returns whether a repeated attempt may be made now. */
  public boolean allows(long now) {
    advance(now);
    return credit >= 1 && repeatSum < maxRepeats();
  }

  /** Spends credit for a repeated attempt; {@link #allows} must have returned true. */
  public void spend(long now) {
    advance(now);
    credit -= 1;
    repeats[index()]++;
    repeatSum++;
  }

  /** Returns the number of repeated attempts that may still be made now. */
  public int available(long now) {
    advance(now);
    return (int) Math.max(0, Math.min(credit, maxRepeats() - repeatSum));
  }

  private double maxRepeats() {
    // The oldest slice leaves the window before the newest is complete, so it does not count.
    return Math.max(
        MIN_REPEATS_PER_WINDOW, Math.floor(MAX_REPEAT_SHARE * (requestSum - requests[oldest()])));
  }

  private int index() {
    return (int) Math.floorMod(slice, (long) SLICES + 1);
  }

  private int oldest() {
    return (int) Math.floorMod(slice + 1, (long) SLICES + 1);
  }

  private void advance(long now) {
    double seconds = Math.max(0, now - filledAt) / 1e6;
    credit = Math.min(MAX_CREDIT, credit + seconds * CREDIT_PER_SECOND);
    filledAt = Math.max(filledAt, now);
    long to = Math.floorDiv(now, SLICE_MICROS);
    if (slice == Long.MIN_VALUE || to - slice > SLICES) {
      Arrays.fill(requests, 0);
      Arrays.fill(repeats, 0);
      requestSum = 0;
      repeatSum = 0;
      slice = to;
    }
    while (slice < to) {
      slice++;
      requestSum -= requests[index()];
      repeatSum -= repeats[index()];
      requests[index()] = 0;
      repeats[index()] = 0;
    }
  }
}
