package ashspar.limits;

/** Notes of late messages from one server: one may be a short stall, several in a row are none. */
public final class OverloadDetector {
  private static final int MIN_CONSECUTIVE = 2;
  private static final long MAX_GAP_MICROS = 3_000_000;

  private int late;
  private long lateAt = Long.MIN_VALUE / 2;

  /** A note has come; true where it shows that the server has too much to do. */
  public boolean recordMessage(long now, boolean slow) {
    if (!slow) {
      late = 0;
      return false;
    }
    late = now - lateAt > MAX_GAP_MICROS ? 1 : late + 1;
    lateAt = now;
    return late >= MIN_CONSECUTIVE;
  }
}
