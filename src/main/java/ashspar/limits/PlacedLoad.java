package ashspar.limits;

import java.util.ArrayDeque;

/**
 * What this node has added to a server's load, or taken from it, since the server was last
 * measured. A report is a measurement of some time ago, so that it settles only what happened
 * before that; a report that equals the last one is the same measurement, and settles nothing new.
 * Ends of connections count as placements do, so that steady churn adds up to nothing.
 *
 * <p>Load is in units of the report (load asked over what the server can do); times are
 * microseconds. Calls cost constant time on average. For one thread at a time.
 */
public final class PlacedLoad {
  /** A report travels for about so long after its measurement. */
  private static final long REPORT_LAG_MICROS = 250_000;

  /** A measurement is at most so old when its report comes, whenever the last one came. */
  private static final long MAX_REPORT_AGE_MICROS = 1_800_000;

  /** Where reports come late, they show at least what was done so long ago. */
  private static final long MAX_UNSETTLED_MICROS = 6_000_000;

  /** Changes kept at most; beyond them the two oldest are taken for one. */
  private static final int MAX_CHANGES = 256;

  private record Change(long at, double load) {}

  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private double total;

  /** When the last measurement was last seen. */
  private long seenAt = Long.MIN_VALUE / 2;

  /** What was done until then is settled. */
  private long settledTo = Long.MIN_VALUE / 2;

  private double lastLoad = Double.NaN;
  private double lastOther = Double.NaN;

  /** Load that no report shows yet; negative where more ended than began. */
  public double total() {
    return total;
  }

  /** A connection has been placed, or with a negative load has ended. */
  public void add(long now, double load) {
    if (changes.size() == MAX_CHANGES) {
      Change first = changes.removeFirst();
      Change second = changes.removeFirst();
      changes.addFirst(new Change(second.at(), first.load() + second.load()));
    }
    changes.addLast(new Change(now, load));
    total += load;
  }

  /**
   * A report has come. Two of its values tell whether it is a new measurement; either may be NaN.
   */
  public void recordReport(long now, double load, double other) {
    boolean same =
        Double.compare(load, lastLoad) == 0
            && Double.compare(other, lastOther) == 0
            && now - seenAt < MAX_REPORT_AGE_MICROS;
    settle(now - MAX_UNSETTLED_MICROS);
    // A new one was made between the last look that still showed the old one and now. Taken for too
    // late, it settles what it does not show, and the server is filled twice: rather too early.
    long before = Math.max(seenAt, now - MAX_REPORT_AGE_MICROS);
    seenAt = now;
    if (!same) {
      lastLoad = load;
      lastOther = other;
      settle(before + (now - before) / 4 - REPORT_LAG_MICROS);
    }
  }

  /** The server has started anew, or is measured by other means: nothing is added any longer. */
  public void clear() {
    changes.clear();
    total = 0;
  }

  /** Until when what was done is settled; it never goes back. */
  public long settledTo() {
    return settledTo;
  }

  private void settle(long measured) {
    settledTo = Math.max(settledTo, measured);
    while (!changes.isEmpty() && changes.peekFirst().at() <= measured) {
      total -= changes.removeFirst().load();
    }
    if (changes.isEmpty()) {
      total = 0;
    }
  }
}
