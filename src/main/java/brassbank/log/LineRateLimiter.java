package brassbank.log;

import java.util.ArrayList;
import java.util.List;

/**
 * Limits the number of log lines per second. Each level may use what is not reserved for the levels
 * above it, so that an information line never displaces a warning, nor a warning an error. Omitted
 * lines are counted by level. Not thread-safe: the console calls it under its lock.
 */
final class LineRateLimiter {
  /** The limit for all levels together. */
  static final int MAX_LINES_PER_SECOND = 50;

  /** By level: the number of lines reserved for the levels above it. */
  private static final int[] RESERVED = {20, 5, 0};

  private final int[] omitted = new int[Level.values().length];
  private long second = Long.MIN_VALUE;
  private int written;

  /** Starts a new second if the time is in another one; returns whether the last omitted lines. */
  boolean startSecond(long nowSeconds) {
    if (nowSeconds == second) {
      return false;
    }
    second = nowSeconds;
    written = 0;
    return omitted[0] + omitted[1] + omitted[2] > 0;
  }

  /** Returns whether a line of this level may be written, and counts it as written or omitted. */
  boolean tryAcquire(Level level) {
    if (written >= MAX_LINES_PER_SECOND - RESERVED[level.ordinal()]) {
      omitted[level.ordinal()]++;
      return false;
    }
    written++;
    return true;
  }

  /** Returns the number of omitted lines by level and resets it. */
  List<Field> takeOmittedCounts() {
    List<Field> fields = new ArrayList<>();
    for (Level level : Level.values()) {
      fields.add(Field.value(level.toString(), omitted[level.ordinal()]));
      omitted[level.ordinal()] = 0;
    }
    return fields;
  }
}
