package brassbank.sources;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * The randomness of a program, derived from one seed. Each component draws from its own stream, so
 * that an additional draw in one component does not change the draws of another. Suitable for
 * distributing load, not for secrets.
 */
public final class Randomness {
  /** FNV-1a, 64 bits: http://www.isthe.com/chongo/tech/comp/fnv/ (offset basis and prime). */
  private static final long FNV_BASIS = 0xcbf29ce484222325L;

  private static final long FNV_PRIME = 0x100000001b3L;

  private final long seed;

  public Randomness(long seed) {
    this.seed = seed;
  }

  /** Returns an unpredictable seed, for a program that is not given one. */
  public static long freshSeed() {
    return new SplittableRandom().nextLong();
  }

  /**
   * Returns a new stream for the component with this name, starting at its first draw. The same
   * seed and name give the same stream on every machine. The stream is not thread-safe.
   */
  public RandomGenerator stream(String name) {
    long hash = FNV_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    return new SplittableRandom(seed ^ hash);
  }
}
