package brassbank.decide;

import brassbank.sources.Clock;

/**
 * The clock of the facade and of the decision module: microseconds that never go back, close to
 * Unix time when the process starts.
 *
 * <p>Start times of targets, which discovery reports as Unix times, are converted by means of the
 * wall clock. The wall clock may be stepped: when it is set forward, a target that has just started
 * looks as if it had long been warm, and all proxies together would overload it. The conversion
 * therefore uses the smallest offset between the wall clock and the monotonic clock within the last
 * one to two minutes, which makes a target look younger rather than older. The window is far longer
 * than any warm-up, so that a step has no lasting effect.
 *
 * <p>Not thread-safe.
 */
public final class FlowClock {
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** How often {@link #now} samples the wall clock. */
  private static final long SAMPLE_INTERVAL_MICROS = MICROS_PER_SECOND;

  /** An offset is remembered for one to two windows. */
  private static final long WINDOW_MICROS = 60 * MICROS_PER_SECOND;

  private final Clock clock;
  private final long startNanos;
  private final long startMicros;

  /** The smallest offset of the wall clock from this clock in the current window. */
  private long minOffset;

  /** The smallest offset in the previous window. */
  private long previousMinOffset;

  private long windowStart;
  private long sampledAt;

  public FlowClock(Clock clock) {
    this.clock = clock;
    startNanos = clock.nanos();
    startMicros = clock.unixMillis() * 1000;
    windowStart = startMicros;
    sampledAt = startMicros;
  }

  /** Returns the time in microseconds, and samples the wall clock if a sample is due. */
  public long now() {
    long now = startMicros + (clock.nanos() - startNanos) / 1000;
    if (now - sampledAt >= SAMPLE_INTERVAL_MICROS) {
      sampleWallClock(now);
    }
    return now;
  }

  /** Converts a time of the monotonic clock, in nanoseconds, to this clock. */
  long fromNanos(long nanos) {
    return startMicros + (nanos - startNanos) / 1000;
  }

  private void sampleWallClock(long now) {
    sampledAt = now;
    long offset = clock.unixMillis() * 1000 - now;
    if (now - windowStart >= WINDOW_MICROS) {
      // After two windows without a sample, the offsets of the earlier window are outdated.
      previousMinOffset = now - windowStart >= 2 * WINDOW_MICROS ? offset : minOffset;
      minOffset = offset;
      windowStart = now;
    }
    minOffset = Math.min(minOffset, offset);
  }

  /** Converts a Unix time in milliseconds to this clock; 0, which means long ago, stays 0. */
  long fromUnixMillis(long millis) {
    sampleWallClock(now());
    return millis <= 0 ? 0 : Math.max(1, millis * 1000 - Math.min(minOffset, previousMinOffset));
  }
}
