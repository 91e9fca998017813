package ashspar.limits;

import java.util.ArrayDeque;

/**
 * The load that this node has added to a server, or removed from it, since the server was last
 * measured. A load report describes the server some time ago, so it accounts only for changes
 * before that time; a report that equals the previous one is the same measurement and accounts for
 * nothing new. Closed connections count like placements, so that steady churn adds up to zero.
 *
 * <p>Load is in units of the report, demanded load relative to capacity; times are microseconds.
 * Operations take amortized constant time. Not thread-safe.
 */
public final class PlacedLoad {
  /** The typical time from a measurement to the arrival of its report. */
  private static final long REPORT_LAG_MICROS = 250_000;

  /** The maximum age of a measurement when its report arrives. */
  private static final long MAX_REPORT_AGE_MICROS = 1_800_000;

  /** Changes older than this are assumed to be included in every report. */
  private static final long MAX_UNSETTLED_MICROS = 6_000_000;

  /** The number of changes kept; beyond it, the two oldest are merged. */
  private static final int MAX_CHANGES = 256;

  private record Change(long at, double load) {}

  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private double total;

  /** The time at which the last measurement was last reported. */
  private long seenAt = Long.MIN_VALUE / 2;

  /** The time up to which changes are included in the reports. */
  private long settledTo = Long.MIN_VALUE / 2;

  private double lastLoad = Double.NaN;
  private double lastOther = Double.NaN;

  /** Returns the load that no report shows yet; negative if more connections ended than began. */
  public double total() {
    return total;
  }

  /** Records a placed connection, or with a negative load a closed one. */
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
   * Records a load report. Two of its values, of which either may be NaN, identify the measurement.
   */
  public void recordReport(long now, double load, double other) {
    boolean same =
        Double.compare(load, lastLoad) == 0
            && Double.compare(other, lastOther) == 0
            && now - seenAt < MAX_REPORT_AGE_MICROS;
    settle(now - MAX_UNSETTLED_MICROS);
    // A new measurement was made at some time since the last report of the previous one. An
    // estimate that is too late would treat connections as included that are not, and the server
    // would be filled twice, so the estimate is rather too early.
    long earliest = Math.max(seenAt, now - MAX_REPORT_AGE_MICROS);
    seenAt = now;
    if (!same) {
      lastLoad = load;
      lastOther = other;
      settle(earliest + (now - earliest) / 4 - REPORT_LAG_MICROS);
    }
  }

  /** Discards all changes because the server has restarted or is measured by other means. */
  public void clear() {
    changes.clear();
    total = 0;
  }

  /** Returns the time up to which changes are included in the reports; it never decreases. */
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
