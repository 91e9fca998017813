package ashspar.limits;

/**
 * The limits of one server, and the connections and load that this node has placed there. Times are
 * microseconds; loads are as in load reports, demanded load relative to capacity. Not thread-safe.
 */
public final class ServerLimits {
  /**
   * The load up to which a server takes the most valuable requests, and the load up to which it
   * takes requests of almost no value. A server above it answers late, to new connections as well
   * as to all that it holds.
   */
  public static final double MAX_LOAD = 0.75;

  public static final double MAX_LOAD_LOWEST_VALUE = 0.6;

  /** An older report is ignored. */
  private static final long REPORT_EXPIRY_MICROS = 12_000_000;

  /** The number of consecutive failures that ejects a server, by the kind of failure. */
  private static final int FAILURES_HARD = 1;

  private static final int FAILURES_TIMEOUT = 2;

  /** A single request may cause several errors of its own, so they weigh less. */
  private static final int FAILURES_ERROR = 3;

  public final SetupLimit setups = new SetupLimit(false);
  public final AffinityGroups groups;
  public final OutlierDetector.Record outlierRecord;
  private final PlacedLoad placedLoad = new PlacedLoad();
  private final NoCapacityCache noCapacityCache;
  private double reportedLoad = Double.NaN;
  private long reportedAt = Long.MIN_VALUE / 2;
  private double size;
  private double warmth = 1;
  private final PeerPlacements peerPlacements;
  private long reportedPlacements;

  /**
   * The load that other nodes are assumed to add here for each connection that this node places
   * anywhere.
   */
  private double peerLoadPerPlacement;

  ServerLimits(
      String id, OutlierDetector outliers, NoCapacityCache noRoom, PeerPlacements elsewhere) {
    this.peerPlacements = elsewhere;
    reportedPlacements = elsewhere.total();
    groups = new AffinityGroups(id);
    outlierRecord = outliers.newRecord();
    this.noCapacityCache = noRoom;
  }

  /** Resets the limits after a restart of the server. {@code cores} is its size, 0 if unknown. */
  public void started(boolean cold, double cores) {
    setups.restarted(cold);
    placedLoad.clear();
    reportedPlacements = peerPlacements.total();
    outlierRecord.reset();
    reportedLoad = Double.NaN;
    size = cores;
    warmth = 1;
  }

  /** Records a load report with the load and another value; either may be NaN. */
  public void recordReport(long now, double load, double other) {
    reportedLoad = load;
    reportedAt = now;
    placedLoad.recordReport(now, load, other);
    reportedPlacements = peerPlacements.totalAt(placedLoad.settledTo());
    noCapacityCache.serverChanged(this);
  }

  /**
   * Returns the assumed load of the server: the reported load plus the load that no report shows
   * yet.
   */
  public double load(long now) {
    boolean isReported = !Double.isNaN(reportedLoad) && now - reportedAt <= REPORT_EXPIRY_MICROS;
    return (isReported ? reportedLoad : 0) + unreportedLoad();
  }

  /** Returns the load added by all nodes that no report shows yet; negative if more has ended. */
  public double unreportedLoad() {
    return placedLoad.total()
        + (peerPlacements.total() - reportedPlacements) * peerLoadPerPlacement;
  }

  /**
   * Sets the load that other nodes are assumed to add here for each connection that this node
   * places anywhere.
   */
  void setPeerLoadPerPlacement(double each) {
    peerLoadPerPlacement = each;
  }

  /** Returns the size in cores, 0 if unknown. */
  double size() {
    return size;
  }

  /**
   * Sets the share of its capacity that the server has by now. Load reports are relative to that
   * share as well.
   */
  public void setWarmth(double share) {
    warmth = share;
  }

  /** Returns the size in cores that the server has by now, 0 if unknown. */
  double currentSize() {
    return size * warmth;
  }

  /** Returns whether a set-up of a request of the highest value may be sent to the server now. */
  public boolean isOpen(long now) {
    return outlierRecord.mayReceive(now) && setups.hasFreeSlot(now) && load(now) < MAX_LOAD;
  }

  /** Returns whether the server has capacity for a request of this value. */
  boolean hasCapacity(long now, double value) {
    return hasCapacity(now, value, 0);
  }

  /**
   * Returns whether the server has capacity for a request.
   *
   * @param value the value of the request relative to the highest, 0 to 1
   * @param extra the additional load that must fit
   */
  boolean hasCapacity(long now, double value, double extra) {
    return load(now) + extra
        < MAX_LOAD_LOWEST_VALUE + (MAX_LOAD - MAX_LOAD_LOWEST_VALUE) * Math.sqrt(value);
  }

  /** Adds load that does not come from connections of this node; a negative value removes load. */
  void addLoad(long now, double load) {
    placedLoad.add(now, load);
  }

  /** Records that a connection of this node was sent to the server or is open there. */
  void connectionAdded(long now, double load, String group) {
    placedLoad.add(now, load);
    groups.connectionAdded(group);
  }

  /**
   * Records that a connection of this node no longer exists at the server, together with its load.
   */
  void connectionRemoved(long now, double load, String group) {
    placedLoad.add(now, -load);
    groups.connectionRemoved(group);
    noCapacityCache.serverChanged(this);
  }

  /**
   * Records the outcome of a set-up that failed or of a connection that broke. Probes alone do not
   * reveal all faults: a server may answer probes and lose requests. Connections that break at the
   * same time count as one failure.
   *
   * @return how long the server is ejected because of it, in microseconds; 0 if it is not
   */
  public long recordFailure(long now, SetupOutcome outcome) {
    return switch (outcome) {
      case REFUSED, BROKE -> outlierRecord.recordFailure(now, FAILURES_HARD);
      case TIMED_OUT -> outlierRecord.recordFailure(now, FAILURES_TIMEOUT);
      case ERROR -> outlierRecord.recordFailure(now, FAILURES_ERROR);
      case UNREACHED, CALLED_OFF -> {
        outlierRecord.cancelTrial();
        yield 0;
      }
    };
  }
}
