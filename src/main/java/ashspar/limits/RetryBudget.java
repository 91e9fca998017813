package ashspar.limits;

import java.util.Arrays;

/**
 * What attempts past the first may cost. Each is paid from a bucket that served flows fill, and
 * over any ten seconds there are at most a stated share of the requests' number of them, so that an
 * outage is not doubled by those who try again (Google's SRE book, chapter 21; Finagle's {@code
 * RetryBudget}). A first attempt costs nothing and waits for none.
 *
 * <p>Times are microseconds. Every call costs constant time. For one thread at a time.
 */
public final class RetryBudget {
  /** The span over which attempts are held against requests. */
  public static final long WINDOW_MICROS = 10_000_000;

  /** Attempts past the first, as a share of the requests of a span. */
  public static final double MAX_REPEAT_SHARE = 0.25;

  /**
   * So many may be made in a span where there are few requests: a limit at its floor still tries.
   */
  public static final int MIN_REPEATS_PER_WINDOW = 3;

  /** What a served flow pays into the bucket, in attempts. */
  private static final double CREDIT_PER_SERVED = 0.5;

  /** What time pays in, in attempts a second: without it, an outage's end was never noticed. */
  private static final double CREDIT_PER_SECOND = 0.5;

  private static final double MAX_CREDIT = 30;

  /** Parts of a span; one more is kept, so that the sum covers a whole span at any time. */
  private static final int SLICES = 10;

  private static final long SLICE_MICROS = WINDOW_MICROS / SLICES;

  private final int[] requests = new int[SLICES + 1];
  private final int[] repeats = new int[SLICES + 1];
  private long slice = Long.MIN_VALUE;
  private double credit = MAX_CREDIT / 2;
  private long filledAt;
  private int requestSum;
  private int repeatSum;

  /** Starts with half a bucket. */
  public RetryBudget(long now) {
    filledAt = now;
    advance(now);
  }

  /** A request has come in, a client's own repeat included. */
  public void recordRequest(long now) {
    advance(now);
    requests[index()]++;
    requestSum++;
  }

  /** A flow has been served. */
  public void recordServed(long now) {
    advance(now);
    credit = Math.min(MAX_CREDIT, credit + CREDIT_PER_SERVED);
  }

  /** Whether an attempt past the first may be made now. */
  public boolean allows(long now) {
    advance(now);
    return credit >= 1 && repeatSum < maxRepeats();
  }

  /** Pays for an attempt past the first; {@link #allows} must have said so. */
  public void spend(long now) {
    advance(now);
    credit -= 1;
    repeats[index()]++;
    repeatSum++;
  }

  /** Attempts past the first that may still be made now. */
  public int available(long now) {
    advance(now);
    return (int) Math.max(0, Math.min(credit, maxRepeats() - repeatSum));
  }

  private double maxRepeats() {
    // The oldest part leaves the span before the newest is full: it is not counted on.
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
