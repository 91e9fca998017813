package brassbank.lab;

import org.HdrHistogram.Histogram;

/**
 * How late the lab itself was. What it sees late it would blame on a proxy: past the limit a play
 * tells nothing.
 */
final class Lateness {
  private static final long LARGEST_MICROS = 600_000_000;
  private static final int DIGITS = 2;
  private static final double PERCENT = 99.9;

  /**
   * Before this nothing is judged: all proxies' first calls come at once, to a lab that has just
   * begun, and the first client comes after 1 s. In microseconds.
   */
  private static final long FROM = 800_000;

  private final long limitMicros;
  private final Histogram histogram = new Histogram(LARGEST_MICROS, DIGITS);
  private long most;
  private long mostAt;

  /**
   * @param limitMicros more than this makes a play void
   */
  Lateness(long limitMicros) {
    this.limitMicros = limitMicros;
  }

  /** A task of the lab's ran so many microseconds late. */
  void ran(long now, long micros) {
    if (now < FROM) {
      return;
    }
    histogram.recordValue(Math.min(micros, LARGEST_MICROS));
    if (micros > most) {
      most = micros;
      mostAt = now;
    }
  }

  /** Whether the limit was passed. */
  boolean tooLate() {
    return most > limitMicros;
  }

  /** The worst lateness, in microseconds. */
  long most() {
    return most;
  }

  /** When that was, in microseconds of the play. */
  long mostAt() {
    return mostAt;
  }

  /** 99.9% of the lab's own tasks ran no later than this, in microseconds. */
  long usual() {
    return histogram.getValueAtPercentile(PERCENT);
  }
}
