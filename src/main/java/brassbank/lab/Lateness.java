package brassbank.lab;

import org.HdrHistogram.Histogram;

/**
 * Records by how much the lab itself ran its tasks late. A late lab would blame its own delay on a
 * proxy, so a run in which the lateness exceeds the limit is void.
 */
final class Lateness {
  private static final long LARGEST_MICROS = 600_000_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double REPORTED_PERCENTILE = 99.9;

  /**
   * Lateness before this time is ignored: the first calls of all proxies reach the lab at once when
   * it has just started, and the first client comes after 1 s.
   */
  private static final long IGNORE_BEFORE_MICROS = 800_000;

  private final long limitMicros;
  private final Histogram histogram = new Histogram(LARGEST_MICROS, SIGNIFICANT_DIGITS);
  private long maxMicros;
  private long maxAtMicros;

  /**
   * @param limitMicros a larger lateness makes a run void
   */
  Lateness(long limitMicros) {
    this.limitMicros = limitMicros;
  }

  /** Records that a task of the lab ran this many microseconds late. */
  void record(long now, long micros) {
    if (now < IGNORE_BEFORE_MICROS) {
      return;
    }
    histogram.recordValue(Math.min(micros, LARGEST_MICROS));
    if (micros > maxMicros) {
      maxMicros = micros;
      maxAtMicros = now;
    }
  }

  /** Returns whether any lateness exceeded the limit. */
  boolean exceedsLimit() {
    return maxMicros > limitMicros;
  }

  /** Returns the largest lateness, in microseconds. */
  long maxMicros() {
    return maxMicros;
  }

  /** Returns the time of the largest lateness, in microseconds since the start of the run. */
  long maxAtMicros() {
    return maxAtMicros;
  }

  /** Returns the 99.9th percentile of the lateness, in microseconds. */
  long percentile999Micros() {
    return histogram.getValueAtPercentile(REPORTED_PERCENTILE);
  }
}
