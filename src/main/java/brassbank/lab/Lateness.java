package brassbank.lab;

import org.HdrHistogram.Histogram;

/**
 * How late the lab itself was. What it sees late it would blame on a proxy: past the limit a play
 * tells nothing.
 */
final class Lateness {
  private static final long LARGEST_MICROS = 600_000_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final double REPORTED_PERCENTILE = 99.9;

  /**
   * Before this nothing is judged: all proxies' first calls come at once, to a lab that has just
   * begun, and the first client comes after 1 s. In microseconds.
   */
  private static final long IGNORE_BEFORE_MICROS = 800_000;

  private final long limitMicros;
  private final Histogram histogram = new Histogram(LARGEST_MICROS, SIGNIFICANT_DIGITS);
  private long maxMicros;
  private long maxAtMicros;

  /**
   * @param limitMicros more than this makes a play void
   */
  Lateness(long limitMicros) {
    this.limitMicros = limitMicros;
  }

  /** A task of the lab's ran so many microseconds late. */
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

  /** Whether the limit was passed. */
  boolean exceedsLimit() {
    return maxMicros > limitMicros;
  }

  /** The worst lateness, in microseconds. */
  long maxMicros() {
    return maxMicros;
  }

  /** When that was, in microseconds of the play. */
  long maxAtMicros() {
    return maxAtMicros;
  }

  /** 99.9% of the lab's own tasks ran no later than this, in microseconds. */
  long percentile999Micros() {
    return histogram.getValueAtPercentile(REPORTED_PERCENTILE);
  }
}
