package ashspar.limits;

import java.util.Locale;

/**
 * The limits of a node at one moment.
 *
 * @param setupsInProgress the set-ups in progress in the fleet
 * @param setupsAllowed the set-ups that may be in progress now
 * @param waiting the requests in the waiting room
 * @param maxWaiting the capacity of the waiting room
 * @param retriesLeft the repeated attempts that may be made now
 * @param ejectedServers the servers that are ejected after failures or await their trial request
 * @param readyServers the servers that are ready, ejected or not
 * @param slowdown how much slower set-ups at the median server are than at its best, 1 if there is
 *     no common cause
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

  /** Returns whether any limit delays or rejects requests. */
  public boolean isLimiting() {
    return waiting > 0 || slowdown > 1 || setupsInProgress >= setupsAllowed;
  }

  /** Returns the values as one line for the operators' log. */
  public String summary() {
    return String.format(
        Locale.ROOT,
        "%d of %d set-ups in progress, %d waiting, %d retries left, %d of %d servers ejected, set-ups %.1f times"
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
