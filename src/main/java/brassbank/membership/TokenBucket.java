package brassbank.membership;

/** A token bucket that holds the tokens of one second at most. Not thread-safe. */
final class TokenBucket {
  private final long ratePerSecond;
  private double tokens;
  private long refilledAtMicros;

  TokenBucket(long ratePerSecond, long now) {
    this.ratePerSecond = ratePerSecond;
    tokens = ratePerSecond;
    refilledAtMicros = now;
  }

  /**
   * Takes tokens if the bucket has them all.
   *
   * @param now the current time, in microseconds
   * @return whether the tokens were taken
   */
  boolean tryConsume(long amount, long now) {
    tokens =
        Math.min(
            ratePerSecond, tokens + (now - refilledAtMicros) * (double) ratePerSecond / 1_000_000);
    refilledAtMicros = now;
    if (tokens < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }
}
