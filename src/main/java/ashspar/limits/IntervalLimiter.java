package ashspar.limits;

/** So long between one time and the next, in microseconds. */
public final class IntervalLimiter {
  private final long intervalMicros;
  private long lastAcquiredAt = Long.MIN_VALUE / 2;

  public IntervalLimiter(long length) {
    this.intervalMicros = length;
  }

  /** Whether it is over; then the next one begins. */
  public boolean tryAcquire(long now) {
    if (now - lastAcquiredAt < intervalMicros) {
      return false;
    }
    lastAcquiredAt = now;
    return true;
  }
}
