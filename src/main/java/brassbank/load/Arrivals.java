package brassbank.load;

import java.util.SplittableRandom;

/**
 * Generates the send times of an open-loop load in advance, as a Poisson process with exponential
 * gaps. The times do not depend on answers, so a stall delays every line due during the stall and
 * each of these delays is recorded. A load generator that waits for answers omits them (coordinated
 * omission; G. Tene, "How NOT to Measure Latency").
 */
final class Arrivals {
  private Arrivals() {}

  /**
   * Draws the send times for an interval.
   *
   * @param perSecond the mean rate
   * @param nanos the length of the interval
   * @param seed the seed; equal arguments give equal times
   * @return nanoseconds since the start of the interval, ascending
   */
  static long[] poisson(double perSecond, long nanos, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long[] times = new long[(int) (perSecond * nanos / 1e9 * 1.2) + 64];
    int count = 0;
    double timeNanos = 0;
    while (count < times.length) {
      timeNanos += -Math.log(1 - random.nextDouble()) * 1e9 / perSecond;
      if (timeNanos >= nanos) {
        break;
      }
      times[count++] = (long) timeNanos;
    }
    return java.util.Arrays.copyOf(times, count);
  }
}
