package ashspar.limits;

/** Allows an action at most once per interval. Times are microseconds. Not thread-safe. */
public final class IntervalLimiter {
  private final long intervalMicros;
  private long lastAcquiredAt = Long.MIN_VALUE / 2;

  /** Creates a limiter that allows the first action at once. */
  public IntervalLimiter(long intervalMicros) {
    this.intervalMicros = intervalMicros;
  }

  /** Returns whether the interval has passed, and starts the next one if so. */
  public boolean tryAcquire(long now) {
    if (now - lastAcquiredAt < intervalMicros) {
      return false;
    }
    lastAcquiredAt = now;
    return true;
  }
}
