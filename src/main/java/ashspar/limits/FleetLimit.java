package ashspar.limits;

import java.util.Arrays;

/**
 * The limit for what all servers share, such as one store that every set-up asks. While it is well,
 * the fleet may hold what its servers may hold together. When servers slow down at once, the middle
 * one of them is the measure: the fleet's limit shrinks by as much, and no single server is blamed
 * (see the {@code slowdown} that {@link SetupLimit#answered} takes).
 *
 * <p>The middle is asked for rather than the mean, so that one sick server tells nothing of the
 * rest, and a fleet of which fewer than three servers are known has none.
 *
 * <p>For one thread at a time.
 */
public final class FleetLimit {
  /** Servers heard of lately, from which the middle one speaks for the fleet. */
  private static final int MIN_SERVERS = 3;

  /** Slower than this by the middle server is a common cause; below it, it is the day's noise. */
  private static final double COMMON_CAUSE_SLOWDOWN = 3;

  /** A limit at its floor still tries: one for each server, or this many. */
  private static final int MIN_SETUPS = 2;

  private int setupsInProgress;
  private double slowdown = 1;

  /** Takes the servers' slowdowns, each 1 or more, of those heard of lately. */
  public void measure(double[] slowdowns) {
    if (slowdowns.length < MIN_SERVERS) {
      slowdown = 1;
      return;
    }
    double[] sorted = slowdowns.clone();
    Arrays.sort(sorted);
    slowdown = Math.max(1, sorted[(sorted.length - 1) / 2]);
  }

  /** How many times slower the whole fleet is than at its best; 1 where there is no such cause. */
  public double slowdown() {
    return slowdown >= COMMON_CAUSE_SLOWDOWN ? slowdown : 1;
  }

  /** Set-ups that may be under way in the whole fleet, out of what its servers allow together. */
  public int allowed(int together) {
    return (int)
        Math.max(
            MIN_SETUPS,
            Math.min(
                together,
                COMMON_CAUSE_SLOWDOWN * together / Math.max(COMMON_CAUSE_SLOWDOWN, slowdown)));
  }

  /** Whether one more set-up may go. */
  public boolean hasFreeSlot(int together) {
    return setupsInProgress < allowed(together);
  }

  /** Set-ups under way. */
  public int setupsInProgress() {
    return setupsInProgress;
  }

  public void acquire() {
    setupsInProgress++;
  }

  public void release() {
    if (setupsInProgress == 0) {
      throw new IllegalStateException("no place is taken");
    }
    setupsInProgress--;
  }
}
