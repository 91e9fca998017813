package brassbank.sources;

import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * One program's randomness, all of it from one seed. Each part draws from a stream of its own, so
 * that one more draw in one part changes nothing in another. For spreading load, not for secrets.
 */
public final class Randomness {
  /** FNV-1a, 64 bits: http://www.isthe.com/chongo/tech/comp/fnv/ (offset basis and prime). */
  private static final long FNV_BASIS = 0xcbf29ce484222325L;

  private static final long FNV_PRIME = 0x100000001b3L;

  private final long seed;

  public Randomness(long seed) {
    this.seed = seed;
  }

  /** A seed that no one can foretell, for a program that was given none. */
  public static long freshSeed() {
    return new SplittableRandom().nextLong();
  }

  /**
   * The stream of the part with this name, from its first draw on. The same seed and name give the
   * same stream on every machine. One thread may draw from it at a time.
   */
  public RandomGenerator stream(String name) {
    long hash = FNV_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    return new SplittableRandom(seed ^ hash);
  }
}
