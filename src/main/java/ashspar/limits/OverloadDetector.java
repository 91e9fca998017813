package ashspar.limits;

/**
 * Detects overload from late messages of a server. A single late message may be a short stall;
 * consecutive ones indicate overload. Times are microseconds. Not thread-safe.
 */
public final class OverloadDetector {
  private static final int MIN_CONSECUTIVE = 2;
  private static final long MAX_GAP_MICROS = 3_000_000;

  private int consecutiveLate;
  private long lastLateAt = Long.MIN_VALUE / 2;

  /** Records a message; returns whether the server is overloaded. */
  public boolean recordMessage(long now, boolean slow) {
    if (!slow) {
      consecutiveLate = 0;
      return false;
    }
    consecutiveLate = now - lastLateAt > MAX_GAP_MICROS ? 1 : consecutiveLate + 1;
    lastLateAt = now;
    return consecutiveLate >= MIN_CONSECUTIVE;
  }
}
