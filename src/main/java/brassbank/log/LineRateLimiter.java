package brassbank.log;

import java.util.ArrayList;
import java.util.List;

/**
 * How many lines a second are written. A level may use what those above it do not have reserved, so
 * that chatter never takes a warning's place, nor a warning an error's. What is left out is
 * counted. Values only; its owner guards it.
 */
final class LineRateLimiter {
  /** All levels together. */
  static final int MAX_LINES_PER_SECOND = 50;

  /** By level: what is kept back for those above it. */
  private static final int[] RESERVED = {20, 5, 0};

  private final int[] omitted = new int[Level.values().length];
  private long second = Long.MIN_VALUE;
  private int written;

  /** Begins a new second if this one is another; true if the last one left lines out. */
  boolean startSecond(long now) {
    if (now == second) {
      return false;
    }
    second = now;
    written = 0;
    return omitted[0] + omitted[1] + omitted[2] > 0;
  }

  /** Whether a line of this level may be written now; it counts as written or as left out. */
  boolean tryAcquire(Level level) {
    if (written >= MAX_LINES_PER_SECOND - RESERVED[level.ordinal()]) {
      omitted[level.ordinal()]++;
      return false;
    }
    written++;
    return true;
  }

  /** What has been left out by level, which is told once. */
  List<Field> takeOmittedCounts() {
    List<Field> fields = new ArrayList<>();
    for (Level level : Level.values()) {
      fields.add(Field.value(level.toString(), omitted[level.ordinal()]));
      omitted[level.ordinal()] = 0;
    }
    return fields;
  }
}
