package brassbank.sim.time;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The streams of chance of one seed. Each purpose has a stream of its own, so that leaving one
 * fault or one client out does not shift what all others draw.
 */
public final class RandomStreams {
  private final long seed;

  public RandomStreams(long seed) {
    this.seed = seed;
  }

  /** The stream of one purpose, from its beginning. */
  public Stream of(String purpose) {
    long mixed = seed * 0x9E3779B97F4A7C15L;
    for (int i = 0; i < purpose.length(); i++) {
      mixed = (mixed ^ purpose.charAt(i)) * 0x100000001b3L;
      mixed ^= mixed >>> 31;
    }
    return new Stream(new SplittableRandom(mixed));
  }

  /** One stream. Logarithms are {@link StrictMath}'s: the same on every machine. */
  public static final class Stream {
    private final SplittableRandom random;

    private Stream(SplittableRandom random) {
      this.random = random;
    }

    /** Any 64 bits. */
    public long bits() {
      return random.nextLong();
    }

    /** A whole number from 0 to {@code bound} - 1. */
    public int below(int bound) {
      return random.nextInt(bound);
    }

    /** A whole number from {@code least} to {@code most}. */
    public int between(int least, int most) {
      return least + random.nextInt(most - least + 1);
    }

    /** Microseconds, evenly from {@code least} to {@code most}. */
    public long micros(long least, long most) {
      return most <= least ? least : least + random.nextLong(most - least + 1);
    }

    /** Evenly from {@code least} to {@code most}. */
    public double between(double least, double most) {
      return least + (most - least) * random.nextDouble();
    }

    /** True with this probability. */
    public boolean chance(double probability) {
      return random.nextDouble() < probability;
    }

    /** Exponential, with this mean. */
    public double exponential(double mean) {
      return -mean * StrictMath.log(1 - random.nextDouble());
    }

    /** Log-normal with mean 1, by the Box-Muller transform. */
    public double logNormal(double sigma) {
      double normal =
          StrictMath.sqrt(-2 * StrictMath.log(1 - random.nextDouble()))
              * StrictMath.cos(2 * Math.PI * random.nextDouble());
      return StrictMath.exp(sigma * normal - sigma * sigma / 2);
    }

    /** One of them, all alike. */
    public <T> T pick(List<T> all) {
      return all.get(random.nextInt(all.size()));
    }

    /** The index of one of them, by these weights. */
    public int pick(double[] weights) {
      double sum = 0;
      for (double weight : weights) {
        sum += weight;
      }
      double left = random.nextDouble() * sum;
      for (int i = 0; i < weights.length - 1; i++) {
        left -= weights[i];
        if (left < 0) {
          return i;
        }
      }
      return weights.length - 1;
    }
  }
}
