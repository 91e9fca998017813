package ashspar.limits;

import java.util.Arrays;

/**
 * Limits the set-ups in progress in the whole fleet by the state of what all servers share, such as
 * a store that every set-up queries. Normally the fleet may have as many set-ups in progress as its
 * servers allow in total. When servers slow down at the same time, the limit shrinks by the
 * slowdown of the median server, and no single server is blamed (see the {@code slowdown} of {@link
 * SetupLimit#answered}).
 *
 * <p>The median is used rather than the mean, so that one slow server does not affect the result.
 * With fewer than three measured servers there is no common slowdown.
 *
 * <p>Not thread-safe.
 */
public final class FleetLimit {
  /** The number of servers with recent answers that a common slowdown requires. */
  private static final int MIN_SERVERS = 3;

  /**
   * The slowdown of the median server from which a common cause is assumed; smaller ones are noise.
   */
  private static final double COMMON_CAUSE_SLOWDOWN = 3;

  /** The lower bound of the limit, so that the fleet keeps probing for recovery. */
  private static final int MIN_SETUPS = 2;

  private int setupsInProgress;
  private double slowdown = 1;

  /**
   * Updates the common slowdown from those of the servers that answered recently, each at least 1.
   */
  public void measure(double[] slowdowns) {
    if (slowdowns.length < MIN_SERVERS) {
      slowdown = 1;
      return;
    }
    double[] sorted = slowdowns.clone();
    Arrays.sort(sorted);
    slowdown = Math.max(1, sorted[(sorted.length - 1) / 2]);
  }

  /** Returns how much slower the fleet is than at its best; 1 if there is no common cause. */
  public double slowdown() {
    return slowdown >= COMMON_CAUSE_SLOWDOWN ? slowdown : 1;
  }

  /**
   * Returns how many set-ups may be in progress in the fleet.
   *
   * @param serverSlots the number that the servers allow in total
   */
  public int allowed(int serverSlots) {
    return (int)
        Math.max(
            MIN_SETUPS,
            Math.min(
                serverSlots,
                COMMON_CAUSE_SLOWDOWN * serverSlots / Math.max(COMMON_CAUSE_SLOWDOWN, slowdown)));
  }

  /** Returns whether another set-up may start. */
  public boolean hasFreeSlot(int serverSlots) {
    return setupsInProgress < allowed(serverSlots);
  }

  /** Returns the number of set-ups in progress. */
  public int setupsInProgress() {
    return setupsInProgress;
  }

  /** Counts a set-up that starts. */
  public void acquire() {
    setupsInProgress++;
  }

  /**
   * Counts a set-up that has ended; throws {@link IllegalStateException} if none is in progress.
   */
  public void release() {
    if (setupsInProgress == 0) {
      throw new IllegalStateException("no set-up is in progress");
    }
    setupsInProgress--;
  }
}
