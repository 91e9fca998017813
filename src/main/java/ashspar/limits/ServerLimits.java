package ashspar.limits;

/**
 * One server's limits, and what this node holds and has added there. Times are microseconds, loads
 * as in reports: load asked over what the server can do. For one thread at a time.
 */
public final class ServerLimits {
  /**
   * Load up to which a server takes the worthiest requests, and those of next to no worth. Above it
   * its messages come late: what it takes then is served badly, and so is all that it holds.
   */
  public static final double MAX_LOAD = 0.75;

  public static final double MAX_LOAD_LOWEST_VALUE = 0.6;

  /** A report older than this tells nothing. */
  private static final long REPORT_EXPIRY_MICROS = 12_000_000;

  /** Failures in a row from which a server rests, by what they tell of it. */
  private static final int FAILURES_HARD = 1;

  private static final int FAILURES_TIMEOUT = 2;

  /** One flow's errors are its own. */
  private static final int FAILURES_ERROR = 3;

  public final SetupLimit setups = new SetupLimit(false);
  public final AffinityGroups groups;
  public final OutlierDetector.Record outlierRecord;
  private final PlacedLoad unreportedLoad = new PlacedLoad();
  private final NoCapacityCache noCapacityCache;
  private double recordReport = Double.NaN;
  private long reportedAt = Long.MIN_VALUE / 2;
  private double size;
  private double warmth = 1;
  private final PeerPlacements peerPlacements;
  private long reportedPlacements;

  /** What one connection of this node, placed anywhere, tells of those that others place here. */
  private double peerLoadPerPlacement;

  ServerLimits(
      String id, OutlierDetector outliers, NoCapacityCache noRoom, PeerPlacements elsewhere) {
    this.peerPlacements = elsewhere;
    reportedPlacements = elsewhere.total();
    groups = new AffinityGroups(id);
    outlierRecord = outliers.newRecord();
    this.noCapacityCache = noRoom;
  }

  /** The server has started anew; its size is in cores, 0 where sizes tell nothing of them. */
  public void started(boolean cold, double cores) {
    setups.restarted(cold);
    unreportedLoad.clear();
    reportedPlacements = peerPlacements.total();
    outlierRecord.reset();
    recordReport = Double.NaN;
    size = cores;
    warmth = 1;
  }

  /** A report has come, with the load and another value, either of which may be NaN. */
  public void recordReport(long now, double load, double other) {
    recordReport = load;
    reportedAt = now;
    unreportedLoad.recordReport(now, load, other);
    reportedPlacements = peerPlacements.totalAt(unreportedLoad.settledTo());
    noCapacityCache.serverChanged(this);
  }

  /** The load that the server is taken to have: what was reported, and what no report shows. */
  public double load(long now) {
    boolean told = !Double.isNaN(recordReport) && now - reportedAt <= REPORT_EXPIRY_MICROS;
    return (told ? recordReport : 0) + unreportedLoad();
  }

  /** What no report shows yet of what all nodes have added; negative where more has ended. */
  public double unreportedLoad() {
    return unreportedLoad.total()
        + (peerPlacements.total() - reportedPlacements) * peerLoadPerPlacement;
  }

  /** Measured anew: what others add here for each connection that this node places anywhere. */
  void setPeerLoadPerPlacement(double each) {
    peerLoadPerPlacement = each;
  }

  /** Size in cores, 0 where unknown. */
  double size() {
    return size;
  }

  /** The share of its size that it has by now; a report counts load against that share, too. */
  public void setWarmth(double share) {
    warmth = share;
  }

  /** Size in cores that it has by now, 0 where unknown. */
  double currentSize() {
    return size * warmth;
  }

  /** Whether a set-up may go to the server now, be it of the worthiest. */
  public boolean isOpen(long now) {
    return outlierRecord.mayReceive(now) && setups.hasFreeSlot(now) && load(now) < MAX_LOAD;
  }

  /** Whether there is room for a request of this worth that needs no more than any other. */
  boolean hasCapacity(long now, double value) {
    return hasCapacity(now, value, 0);
  }

  /**
   * Whether there is room for a request.
   *
   * @param value what it is worth against the worthiest, 0 to 1
   * @param extra room that it needs beyond that of any other
   */
  boolean hasCapacity(long now, double value, double extra) {
    return load(now) + extra
        < MAX_LOAD_LOWEST_VALUE + (MAX_LOAD - MAX_LOAD_LOWEST_VALUE) * Math.sqrt(value);
  }

  /** Load that is added, or with a negative load taken, without this node's connections. */
  void addLoad(long now, double load) {
    unreportedLoad.add(now, load);
  }

  /** A connection of this node stands at the server, or has been sent there. */
  void connectionAdded(long now, double load, String group) {
    unreportedLoad.add(now, load);
    groups.connectionAdded(group);
  }

  /** A connection of this node is gone from the server, with what it added. */
  void connectionRemoved(long now, double load, String group) {
    unreportedLoad.add(now, -load);
    groups.connectionRemoved(group);
    noCapacityCache.serverChanged(this);
  }

  /**
   * What an ending tells of the server. It may answer probes and lose requests: only their own time
   * tells of that. Breaks that come in one go are one.
   *
   * @return how long the server rests now because of it, in microseconds; 0 if it does not
   */
  public long recordFailure(long now, SetupOutcome how) {
    return switch (how) {
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
