package ashspar.limits;

import java.util.Locale;

/**
 * A node's limits at one moment, as plain values.
 *
 * @param setupsInProgress set-ups under way in the fleet
 * @param setupsAllowed set-ups that may be under way now
 * @param waiting requests in the waiting room
 * @param maxWaiting requests that may wait
 * @param retriesLeft attempts past the first that may be made now
 * @param ejectedServers servers that rest after failures, or await their trial
 * @param readyServers that are ready, at rest or not
 * @param slowdown how many times slower the fleet's middle server sets up than at its best, 1 where
 *     no cause that all share is seen
 */
public record LimitsSnapshot(
    int setupsInProgress,
    int setupsAllowed,
    int waiting,
    int maxWaiting,
    int retriesLeft,
    int ejectedServers,
    int readyServers,
    double slowdown) {

  /** Whether a limit keeps anything back. */
  public boolean isLimiting() {
    return waiting > 0 || slowdown > 1 || setupsInProgress >= setupsAllowed;
  }

  /** The figures in one line, for the operators. */
  public String summary() {
    return String.format(
        Locale.ROOT,
        "%d of %d set-ups out, %d wait, %d retries left, %d of %d servers rest, set-ups %.1f times"
            + " slower",
        setupsInProgress,
        setupsAllowed,
        waiting,
        retriesLeft,
        ejectedServers,
        readyServers,
        slowdown);
  }
}
