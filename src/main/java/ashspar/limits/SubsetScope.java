package ashspar.limits;

import java.util.List;
import java.util.function.Predicate;

/**
 * How far a node looks beyond the servers that are its own: to all of its zone, then to all. It is
 * widened at once, where its own have no room or half of them take nothing, and narrowed step by
 * step once they have taken for a while; what was asked for in between is known by then, so that a
 * subset costs nobody a place and a narrow one no probes.
 *
 * <p>Times are microseconds. For one thread at a time.
 */
public final class SubsetScope {
  /** How far. */
  public enum Extent {
    OWN,
    ZONE,
    ALL
  }

  /** The tier that holds all that is left. */
  public static final int LAST_TIER = 3;

  /** So long nothing must have been missing before less is asked. */
  static final long NARROW_AFTER_MICROS = 4_000_000;

  /** Share of servers that must take more, below which further ones are looked for. */
  private static final double MIN_AVAILABLE_SHARE = 0.5;

  private Extent extent = Extent.OWN;
  private long lastShortageAt = Long.MIN_VALUE / 2;

  /** What the node looks at now. */
  public Extent extent() {
    return extent;
  }

  /** Whether servers that are not the node's own are asked now. */
  public boolean covers(boolean near) {
    return extent == Extent.ALL || (extent == Extent.ZONE && near);
  }

  /**
   * Which of them come first: 0 its own in its zone, then what answers there, then the same of
   * other zones, and last, as {@link #LAST_TIER}, what may be gone without anybody's having
   * noticed.
   */
  public static int tierOf(boolean own, boolean near, boolean answers) {
    if (near && own) {
      return 0;
    }
    return own || answers ? near ? 1 : 2 : LAST_TIER;
  }

  /**
   * The last tier that may be tried: nobody crosses to another zone before the rest of his own was
   * asked, which takes a request that meets it some milliseconds.
   */
  public int lastTier() {
    return extent.ordinal() + 1;
  }

  /**
   * A request found no room up to this tier.
   *
   * @return whether further servers are to be asked now
   */
  public boolean recordNoCapacity(long now, int tier) {
    boolean wider = tier < LAST_TIER - 1 && tier >= extent.ordinal();
    if (wider) {
      extent = Extent.values()[tier + 1];
    }
    lastShortageAt = tier < LAST_TIER ? now : lastShortageAt;
    return wider;
  }

  /**
   * Looked at once a second.
   *
   * @param all the servers; none where all are the node's own, whatever they do
   * @param takes whether it answers and takes more
   */
  public <T> void adjust(
      long now, List<T> all, Predicate<T> own, Predicate<T> near, Predicate<T> takes) {
    if (all.isEmpty()) {
      extent = Extent.OWN;
    } else if (tooFewAvailable(all, own, takes)) {
      extent = extent != Extent.OWN && tooFewAvailable(all, near, takes) ? Extent.ALL : widened();
      lastShortageAt = now;
    } else if (extent != Extent.OWN && now - lastShortageAt >= NARROW_AFTER_MICROS) {
      extent = Extent.values()[extent.ordinal() - 1];
      lastShortageAt = now;
    }
  }

  private Extent widened() {
    return extent == Extent.OWN ? Extent.ZONE : extent;
  }

  private static <T> boolean tooFewAvailable(List<T> all, Predicate<T> of, Predicate<T> takes) {
    long count = all.stream().filter(of).count();
    return count == 0 || all.stream().filter(of.and(takes)).count() < MIN_AVAILABLE_SHARE * count;
  }
}
