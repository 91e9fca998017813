package brassbank.route;

/**
 * What this process knows of another one's clock, without trust in either's time of day or in how
 * long anything takes: a stamp was made before it was received, so the other clock is past it, and
 * goes on at about the rate of this one. The bound holds from below only, which is all that a lease
 * needs (docs/gateway.md). Times are microseconds. For one thread at a time.
 */
final class PeerClock {
  /**
   * How much faster or slower than true time either clock may run, in millionths. Kernels slew a
   * clock by 500 at most, quartz strays by 100.
   */
  static final long DRIFT = 1_000;

  /** Stamps beyond are nonsense; sums of them would overflow. */
  private static final long LAST = Long.MAX_VALUE / 4;

  private static final long MILLION = 1_000_000;

  private long stamp = Message.NONE;
  private long at;
  private long latest = Message.NONE;

  /** A stamp has come in. One that tells nothing new, since it was long on its way, is no harm. */
  void heard(long told, long now) {
    if (told < 0 || told > LAST) {
      return;
    }
    latest = Math.max(latest, told);
    if (stamp == Message.NONE || told >= floor(now)) {
      stamp = told;
      at = now;
    }
  }

  /** Whether any stamp has come. */
  boolean known() {
    return stamp != Message.NONE;
  }

  /** The latest stamp that has come: what was due there by then has been given up. */
  long latest() {
    return latest;
  }

  /** What the other clock shows at least. */
  long floor(long now) {
    long gone = now - at;
    // (1 - d) / (1 + d) >= 1 - 2 d
    return stamp + gone - gone * 2 * DRIFT / MILLION - 1;
  }

  /** By when, at the latest, a lease of this length from now is over on the other clock. */
  static long over(long now, long lease) {
    return now + (lease + 2) * MILLION / (MILLION - 2 * DRIFT) + 2;
  }
}
