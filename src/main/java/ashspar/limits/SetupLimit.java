package ashspar.limits;

import java.util.PriorityQueue;

/**
 * Limits the number of set-ups in progress at one server. The limit adapts to the time that set-ups
 * take: it follows the gradient between the best recent time and the current one, as in congestion
 * control (TCP Vegas, Brakmo and Peterson 1995; Netflix's concurrency-limits, {@code
 * Gradient2Limit}). It grows while answers are as fast as they were and shrinks when they queue.
 *
 * <p>{@link #acquire} takes a slot, and exactly one call of {@link #answered}, {@link #refused},
 * {@link #ended} or {@link #abandoned} releases it. An abandoned attempt still costs the server
 * work, so its slot becomes free only after the usual time of a set-up.
 *
 * <p>All times are microseconds. Each operation takes O(log n) in the number of abandoned attempts
 * and constant time otherwise. Not thread-safe.
 */
public final class SetupLimit {
  /** The limit of a server of unknown speed: enough to measure it, too few to overload it. */
  public static final double INITIAL = 4;

  /** The limit of a cold server, which has a fraction of its capacity. */
  public static final double COLD_INITIAL = 2;

  /** The lower bound of the limit, so that recovery is still detected. */
  public static final double MIN_LIMIT = 1;

  /** The upper bound of the limit; more than servers of any known size set up at once. */
  public static final double MAX_LIMIT = 64;

  /** Set-ups up to this many times slower than the best recent one are not considered queued. */
  private static final double TOLERANCE = 2;

  /** The lower bound of the gradient, so that one slow answer does not halve the limit. */
  private static final double MIN_GRADIENT = 0.5;

  /** The weight of the new limit; about ten answers move the limit most of the way. */
  private static final double LIMIT_SMOOTHING = 0.2;

  /** The weight of one answer in the current set-up time. */
  private static final double RECENT_SMOOTHING = 0.25;

  /**
   * The factor by which the limit is reduced after a time-out, and after a refusal by the server.
   */
  private static final double AFTER_TIMEOUT = 0.6;

  private static final double AFTER_REFUSAL = 0.7;

  /**
   * The best time is taken over the last two windows, so that a changed server is measured anew.
   */
  private static final long BEST_WINDOW_MICROS = 15_000_000;

  /** Faster set-ups count as this, since differences below it come from the network. */
  private static final double MIN_SETUP_MICROS = 20_000;

  /** The maximum time for which an abandoned attempt keeps its slot. */
  private static final long MAX_ABANDONED_WORK_MICROS = 2_000_000;

  /** The time for which an answer is considered recent. */
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

  /** Creates the limit of a server that has not answered yet. */
  public SetupLimit(boolean cold) {
    limit = cold ? COLD_INITIAL : INITIAL;
  }

  /** Returns whether another set-up may start. */
  public boolean hasFreeSlot(long now) {
    return slotsTaken(now) < allowed();
  }

  /** Returns how many set-ups may be in progress at once; at least one. */
  public int allowed() {
    return (int) Math.max(MIN_LIMIT, Math.floor(limit));
  }

  /** Returns the number of slots taken by attempts in progress or abandoned a short time ago. */
  public int slotsTaken(long now) {
    while (!abandonedUntil.isEmpty() && abandonedUntil.peek() <= now) {
      abandonedUntil.remove();
    }
    return inProgress + abandonedUntil.size();
  }

  /** Takes a slot; the caller must check {@link #hasFreeSlot} first. */
  public void acquire() {
    inProgress++;
  }

  /**
   * Releases the slot of an answered attempt and adapts the limit to its time.
   *
   * @param slowdown how much slower the whole fleet is than at its best, at least 1; the server is
   *     not blamed for a slowdown that all share
   */
  public void answered(long now, long elapsed, double slowdown) {
    release();
    double duration = Math.max(MIN_SETUP_MICROS, elapsed);
    rotateWindow(now);
    answeredAt = now;
    best = Double.isNaN(best) ? duration : Math.min(best, duration);
    recent = Double.isNaN(recent) ? duration : recent + RECENT_SMOOTHING * (duration - recent);
    double gradient = TOLERANCE * best() * Math.max(1, slowdown) / recent;
    gradient = Math.max(MIN_GRADIENT, Math.min(1, gradient));
    // The limit grows only if at least half of it is used; otherwise answers do not show whether
    // the server could take more.
    boolean isUsed = 2 * (inProgress + 1 + abandonedUntil.size()) >= limit;
    double next = limit * gradient + (isUsed ? Math.sqrt(limit) : 0);
    if (next < limit || isUsed) {
      set(limit + LIMIT_SMOOTHING * (next - limit));
    }
  }

  /**
   * Releases the slot of an attempt that never ran, because the server refused it or could not be
   * reached.
   */
  public void refused(long now, boolean full) {
    release();
    if (full) {
      reduceTo(now, AFTER_REFUSAL);
    }
  }

  /**
   * Releases the slot of an attempt that broke or whose client disconnected; its time is not
   * measured.
   */
  public void ended() {
    release();
  }

  /**
   * Releases the slot of an attempt that was abandoned before its answer. The slot stays taken for
   * about the time of a set-up, since the server may continue to work on it.
   *
   * @param timedOut whether the attempt took longer than it should have
   */
  public void abandoned(long now, boolean timedOut) {
    release();
    double remainingWork = Double.isNaN(recent) ? MIN_SETUP_MICROS : recent;
    abandonedUntil.add(now + (long) Math.min(MAX_ABANDONED_WORK_MICROS, remainingWork));
    if (timedOut) {
      reduceTo(now, AFTER_TIMEOUT);
    }
  }

  /** Forgets the measurements after a restart of the server; slots stay taken. */
  public void restarted(boolean cold) {
    limit = cold ? COLD_INITIAL : INITIAL;
    best = Double.NaN;
    bestBefore = Double.NaN;
    recent = Double.NaN;
    windowEnds = Long.MIN_VALUE;
  }

  /** Returns whether an answer is recent enough for {@link #slowdown} to be meaningful. */
  public boolean hasRecentAnswer(long now) {
    return now - answeredAt <= RECENT_ANSWER_MICROS;
  }

  /** Returns how much slower set-ups are now than at their best; 1 if unknown. */
  public double slowdown() {
    return Double.isNaN(recent) || Double.isNaN(best()) ? 1 : Math.max(1, recent / best());
  }

  /** Reduces the limit once for attempts that fail at the same time, since they have one cause. */
  private void reduceTo(long now, double factor) {
    double interval = Double.isNaN(recent) ? MIN_SETUP_MICROS : recent;
    if (now - reducedAt >= interval) {
      reducedAt = now;
      set(limit * factor);
    }
  }

  private void set(double next) {
    limit = Math.max(MIN_LIMIT, Math.min(MAX_LIMIT, next));
  }

  private void release() {
    if (inProgress == 0) {
      throw new IllegalStateException("no set-up is in progress");
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
      // After a long time without answers, both windows are outdated.
      bestBefore = now >= windowEnds + BEST_WINDOW_MICROS ? Double.NaN : best;
      best = Double.NaN;
      windowEnds = now + BEST_WINDOW_MICROS;
    }
  }
}
