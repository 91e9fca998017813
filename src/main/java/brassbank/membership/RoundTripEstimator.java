package brassbank.membership;

/** Estimates the round-trip time and a time-out for it (RFC 6298, section 2). */
final class RoundTripEstimator {
  private static final long MAX_SAMPLE_MICROS = 2_000_000;
  private double smoothedRoundTrip;
  private double roundTripVariation;

  void addSample(long micros) {
    double sample = Math.min(MAX_SAMPLE_MICROS, micros);
    if (smoothedRoundTrip == 0) {
      smoothedRoundTrip = sample;
      roundTripVariation = sample / 2;
    } else {
      roundTripVariation += (Math.abs(smoothedRoundTrip - sample) - roundTripVariation) / 4;
      smoothedRoundTrip += (sample - smoothedRoundTrip) / 8;
    }
  }

  /** Returns the smoothed round-trip time; 0 before the first sample. */
  long smoothedMicros() {
    return (long) smoothedRoundTrip;
  }

  /** Returns a time within which nearly all answers arrive; 0 before the first sample. */
  long timeoutMicros() {
    return (long) Math.min(MAX_SAMPLE_MICROS, smoothedRoundTrip + 4 * roundTripVariation);
  }
}
