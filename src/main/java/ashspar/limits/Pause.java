package ashspar.limits;

/** So long between one time and the next, in microseconds. */
public final class Pause {
  private final long length;
  private long last = Long.MIN_VALUE / 2;

  public Pause(long length) {
    this.length = length;
  }

  /** Whether it is over; then the next one begins. */
  public boolean over(long now) {
    if (now - last < length) {
      return false;
    }
    last = now;
    return true;
  }
}
