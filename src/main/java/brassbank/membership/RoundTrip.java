package brassbank.membership;

/** How long an answer takes, by and large, and at most (RFC 6298, section 2). */
final class RoundTrip {
  private static final long LONGEST = 2_000_000;
  private double smoothed;
  private double variation;

  void took(long micros) {
    double sample = Math.min(LONGEST, micros);
    if (smoothed == 0) {
      smoothed = sample;
      variation = sample / 2;
    } else {
      variation += (Math.abs(smoothed - sample) - variation) / 4;
      smoothed += (sample - smoothed) / 8;
    }
  }

  /** Microseconds; 0 while nothing is known. */
  long usual() {
    return (long) smoothed;
  }

  /** Microseconds within which nearly all come. */
  long most() {
    return (long) Math.min(LONGEST, smoothed + 4 * variation);
  }
}
