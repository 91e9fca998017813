package brassbank.sim.time;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The random streams of one seed. Each purpose has a stream of its own, so that leaving out one
 * fault or one client does not change the numbers that all others draw.
 */
public final class RandomStreams {
  private final long seed;

  public RandomStreams(long seed) {
    this.seed = seed;
  }

  /**
   * Returns the stream of one purpose, from its beginning. The purpose's name determines the
   * numbers, so that a change of the name changes every run of every seed.
   */
  public Stream of(String purpose) {
    long mixed = seed * 0x9E3779B97F4A7C15L;
    for (int i = 0; i < purpose.length(); i++) {
      mixed = (mixed ^ purpose.charAt(i)) * 0x100000001b3L;
      mixed ^= mixed >>> 31;
    }
    return new Stream(new SplittableRandom(mixed));
  }

  /**
   * One random stream. Logarithms and cosines are computed by {@link StrictMath}, whose results are
   * the same on every machine.
   */
  public static final class Stream {
    private final SplittableRandom random;

    private Stream(SplittableRandom random) {
      this.random = random;
    }

    /** Returns 64 random bits. */
    public long bits() {
      return random.nextLong();
    }

    /** Returns an integer from 0 to {@code bound} - 1. */
    public int below(int bound) {
      return random.nextInt(bound);
    }

    /** Returns an integer from {@code least} to {@code most}, both inclusive. */
    public int between(int least, int most) {
      return least + random.nextInt(most - least + 1);
    }

    /** Returns a duration in microseconds, uniform from {@code least} to {@code most}. */
    public long micros(long least, long most) {
      return most <= least ? least : least + random.nextLong(most - least + 1);
    }

    /** Returns a number uniform from {@code least} to {@code most}. */
    public double between(double least, double most) {
      return least + (most - least) * random.nextDouble();
    }

    /** Returns true with this probability. */
    public boolean chance(double probability) {
      return random.nextDouble() < probability;
    }

    /** Returns an exponentially distributed number with this mean. */
    public double exponential(double mean) {
      return -mean * StrictMath.log(1 - random.nextDouble());
    }

    /** Returns a log-normally distributed number with mean 1, by the Box-Muller transform. */
    public double logNormal(double sigma) {
      double normal =
          StrictMath.sqrt(-2 * StrictMath.log(1 - random.nextDouble()))
              * StrictMath.cos(2 * Math.PI * random.nextDouble());
      return StrictMath.exp(sigma * normal - sigma * sigma / 2);
    }

    /** Returns one of the elements, each with the same probability. */
    public <T> T pick(List<T> all) {
      return all.get(random.nextInt(all.size()));
    }

    /** Returns an index, with a probability in proportion to its weight. */
    public int pick(double[] weights) {
      double sum = 0;
      for (double weight : weights) {
        sum += weight;
      }
      double remaining = random.nextDouble() * sum;
      for (int i = 0; i < weights.length - 1; i++) {
        remaining -= weights[i];
        if (remaining < 0) {
          return i;
        }
      }
      return weights.length - 1;
    }
  }
}
