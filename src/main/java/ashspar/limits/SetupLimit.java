package ashspar.limits;

import java.util.PriorityQueue;

/**
 * How many set-ups may be under way at one server at once. The limit adapts to what set-ups take:
 * it follows the gradient between the best recent time and the present one, as the "gradient"
 * limits of congestion control do (TCP Vegas, Brakmo and Peterson 1995; Netflix's
 * concurrency-limits, {@code Gradient2Limit}), so that it grows while answers come as fast as they
 * did and shrinks while they queue.
 *
 * <p>A place is taken by {@link #acquire} and given back by {@link #answered}, {@link #refused},
 * {@link #ended} or {@link #abandoned}, once for each that was taken. An attempt that was cut goes
 * on costing the server work, so that its place is free only once its time has passed.
 *
 * <p>All times are microseconds. Each call costs O(log n) in the number of places held by attempts
 * that were cut, and constant time else. For one thread at a time.
 */
public final class SetupLimit {
  /** Places of a server of which nothing is known yet: enough to learn from, too few to hurt. */
  public static final double INITIAL = 4;

  /** Places of a server that is cold: it does a fraction of its usual work. */
  public static final double COLD_INITIAL = 2;

  /** A limit at its floor still tries. */
  public static final double MIN_LIMIT = 1;

  /** More than a server of this kind sets up at once in any of its known sizes. */
  public static final double MAX_LIMIT = 64;

  /** Set-ups this many times slower than the best recent one are not yet queueing. */
  private static final double TOLERANCE = 2;

  /** The steepest cut of one answer: one slow answer alone must not halve what follows. */
  private static final double MIN_GRADIENT = 0.5;

  /** Share of the new limit in the next: some ten answers move it most of the way. */
  private static final double LIMIT_SMOOTHING = 0.2;

  /** Share of one answer in the present time. */
  private static final double RECENT_SMOOTHING = 0.25;

  /** What is left of the limit after a time-out, and after the server has turned one away. */
  private static final double AFTER_TIMEOUT = 0.6;

  private static final double AFTER_REFUSAL = 0.7;

  /** The best time is of the last two windows, so that a server that has changed is learnt anew. */
  private static final long BEST_WINDOW_MICROS = 15_000_000;

  /** A set-up faster than this is as good as any: below it, differences are the network's. */
  private static final double MIN_SETUP_MICROS = 20_000;

  /** An attempt that was cut holds its place at most so long. */
  private static final long MAX_ABANDONED_WORK_MICROS = 2_000_000;

  /** Time for which an answer speaks for the present. */
  private static final long RECENT_ANSWER_MICROS = 5_000_000;

  private double limit;
  private long answeredAt = Long.MIN_VALUE / 2;
  private int inProgress;
  private final PriorityQueue<Long> abandonedUntil = new PriorityQueue<>();
  private double recent = Double.NaN;
  private double best = Double.NaN;
  private double bestBefore = Double.NaN;
  private long windowEnds = Long.MIN_VALUE;
  private long reducedAt = Long.MIN_VALUE / 2;

  /** A limit for a server of which nothing has been heard. */
  public SetupLimit(boolean cold) {
    limit = cold ? COLD_INITIAL : INITIAL;
  }

  /** Whether one more set-up may go. */
  public boolean hasFreeSlot(long now) {
    return slotsTaken(now) < allowed();
  }

  /** Set-ups that may be under way at once; at least one. */
  public int allowed() {
    return (int) Math.max(MIN_LIMIT, Math.floor(limit));
  }

  /** Places taken: by attempts that are out, and by attempts that were cut a short time ago. */
  public int slotsTaken(long now) {
    while (!abandonedUntil.isEmpty() && abandonedUntil.peek() <= now) {
      abandonedUntil.remove();
    }
    return inProgress + abandonedUntil.size();
  }

  /** Takes a place; whether one is free is the caller's to ask. */
  public void acquire() {
    inProgress++;
  }

  /**
   * An attempt was answered: it gives its place back, and its time is learnt from.
   *
   * @param slowdown how many times slower the whole fleet is than at its best, 1 or more: what all
   *     servers share is no fault of this one
   */
  public void answered(long now, long elapsed, double slowdown) {
    release();
    double took = Math.max(MIN_SETUP_MICROS, elapsed);
    rotateWindow(now);
    answeredAt = now;
    best = Double.isNaN(best) ? took : Math.min(best, took);
    recent = Double.isNaN(recent) ? took : recent + RECENT_SMOOTHING * (took - recent);
    double gradient = TOLERANCE * best() * Math.max(1, slowdown) / recent;
    gradient = Math.max(MIN_GRADIENT, Math.min(1, gradient));
    // Growth is earned: while less than half of the limit is in use, answers say nothing of more.
    boolean used = 2 * (inProgress + 1 + abandonedUntil.size()) >= limit;
    double next = limit * gradient + (used ? Math.sqrt(limit) : 0);
    if (next < limit || used) {
      set(limit + LIMIT_SMOOTHING * (next - limit));
    }
  }

  /** The server turned the attempt away, or could not be reached: it never ran. */
  public void refused(long now, boolean full) {
    release();
    if (full) {
      reduceTo(now, AFTER_REFUSAL);
    }
  }

  /** The attempt broke, or its client left before the answer: nothing is learnt of time. */
  public void ended() {
    release();
  }

  /**
   * The attempt was cut with its answer still out: the server may go on working on it for about as
   * long as a set-up takes now.
   *
   * @param timedOut true where it was out for longer than it should have been
   */
  public void abandoned(long now, boolean timedOut) {
    release();
    double work = Double.isNaN(recent) ? MIN_SETUP_MICROS : recent;
    abandonedUntil.add(now + (long) Math.min(MAX_ABANDONED_WORK_MICROS, work));
    if (timedOut) {
      reduceTo(now, AFTER_TIMEOUT);
    }
  }

  /** The server has started anew: what was learnt of it is void, places stay taken. */
  public void restarted(boolean cold) {
    limit = cold ? COLD_INITIAL : INITIAL;
    best = Double.NaN;
    bestBefore = Double.NaN;
    recent = Double.NaN;
    windowEnds = Long.MIN_VALUE;
  }

  /** Whether an answer has come lately, so that {@link #slowdown} says something. */
  public boolean hasRecentAnswer(long now) {
    return now - answeredAt <= RECENT_ANSWER_MICROS;
  }

  /** How many times slower set-ups are now than at their best; 1 while nothing is known. */
  public double slowdown() {
    return Double.isNaN(recent) || Double.isNaN(best()) ? 1 : Math.max(1, recent / best());
  }

  /** Attempts that fail in one go are one event: the limit is cut once for them. */
  private void reduceTo(long now, double share) {
    double spare = Double.isNaN(recent) ? MIN_SETUP_MICROS : recent;
    if (now - reducedAt >= spare) {
      reducedAt = now;
      set(limit * share);
    }
  }

  private void set(double next) {
    limit = Math.max(MIN_LIMIT, Math.min(MAX_LIMIT, next));
  }

  private void release() {
    if (inProgress == 0) {
      throw new IllegalStateException("no place is taken");
    }
    inProgress--;
  }

  private double best() {
    if (Double.isNaN(bestBefore)) {
      return best;
    }
    return Double.isNaN(best) ? bestBefore : Math.min(best, bestBefore);
  }

  private void rotateWindow(long now) {
    if (now >= windowEnds) {
      // After a long silence both windows are old.
      bestBefore = now >= windowEnds + BEST_WINDOW_MICROS ? Double.NaN : best;
      best = Double.NaN;
      windowEnds = now + BEST_WINDOW_MICROS;
    }
  }
}
