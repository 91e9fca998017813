package ashspar.limits;

import java.util.List;
import java.util.function.Predicate;

/**
 * Controls how far a node looks beyond its subset of servers: to all servers of its zone, then to
 * all servers. The scope is widened at once if the subset has no capacity or half of it is
 * unavailable. It is narrowed step by step after the subset has been available for a while. The
 * widened scope is probed meanwhile, so a subset does not cost a request its placement, and a
 * narrow scope saves probes.
 *
 * <p>Times are microseconds. Not thread-safe.
 */
public final class SubsetScope {
  /** The scopes, from narrow to wide. */
  public enum Extent {
    OWN,
    ZONE,
    ALL
  }

  /** The tier of all servers that belong to no other tier. */
  public static final int LAST_TIER = 3;

  /** The time without a shortage after which the scope is narrowed. */
  static final long NARROW_AFTER_MICROS = 4_000_000;

  /** The share of servers that must be available; below it, the scope is widened. */
  private static final double MIN_AVAILABLE_SHARE = 0.5;

  private Extent extent = Extent.OWN;
  private long lastShortageAt = Long.MIN_VALUE / 2;

  /** Returns the current scope. */
  public Extent extent() {
    return extent;
  }

  /**
   * Returns whether servers outside the subset are probed regularly now.
   *
   * @param near whether they are in the node's zone
   */
  public boolean covers(boolean near) {
    return extent == Extent.ALL || (extent == Extent.ZONE && near);
  }

  /**
   * Returns the tier of a server: 0 for servers of the subset in the node's zone, 1 for other
   * responsive servers there, 2 for those of the subset or responsive ones in other zones, and
   * {@link #LAST_TIER} for servers that may have failed unnoticed.
   */
  public static int tierOf(boolean own, boolean near, boolean isResponsive) {
    if (near && own) {
      return 0;
    }
    return own || isResponsive ? near ? 1 : 2 : LAST_TIER;
  }

  /**
   * Returns the last tier that may be tried. A request uses another zone only after the rest of its
   * own zone was probed, which delays the requests that widen the scope by some milliseconds.
   */
  public int lastTier() {
    return extent.ordinal() + 1;
  }

  /**
   * Records that a request found no capacity up to this tier.
   *
   * @return whether the scope was widened, so that further servers must be probed now
   */
  public boolean recordNoCapacity(long now, int tier) {
    boolean isWidened = tier < LAST_TIER - 1 && tier >= extent.ordinal();
    if (isWidened) {
      extent = Extent.values()[tier + 1];
    }
    lastShortageAt = tier < LAST_TIER ? now : lastShortageAt;
    return isWidened;
  }

  /**
   * Adjusts the scope; called once per second.
   *
   * @param all the ready servers; empty if the node has no subset
   * @param own whether a server is in the subset
   * @param near whether a server is in the node's zone
   * @param isAvailable whether a server responds and takes requests
   */
  public <T> void adjust(
      long now, List<T> all, Predicate<T> own, Predicate<T> near, Predicate<T> isAvailable) {
    if (all.isEmpty()) {
      extent = Extent.OWN;
    } else if (tooFewAvailable(all, own, isAvailable)) {
      extent =
          extent != Extent.OWN && tooFewAvailable(all, near, isAvailable) ? Extent.ALL : widened();
      lastShortageAt = now;
    } else if (extent != Extent.OWN && now - lastShortageAt >= NARROW_AFTER_MICROS) {
      extent = Extent.values()[extent.ordinal() - 1];
      lastShortageAt = now;
    }
  }

  private Extent widened() {
    return extent == Extent.OWN ? Extent.ZONE : extent;
  }

  private static <T> boolean tooFewAvailable(
      List<T> all, Predicate<T> members, Predicate<T> isAvailable) {
    long count = all.stream().filter(members).count();
    return count == 0
        || all.stream().filter(members.and(isAvailable)).count() < MIN_AVAILABLE_SHARE * count;
  }
}
