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
  public static final double CEILING = 0.75;

  public static final double CEILING_LEAST = 0.6;

  /** A report older than this tells nothing. */
  private static final long OVERDUE = 12_000_000;

  /** Failures in a row from which a server rests, by what they tell of it. */
  private static final int AT_ONCE = 1;

  private static final int SILENT = 2;

  /** One flow's errors are its own. */
  private static final int ERRORS = 3;

  public final SetupLimit setups = new SetupLimit(false);
  public final Groups groups;
  public final Outliers.Record record;
  private final PlacedLoad added = new PlacedLoad();
  private final NoRoom noRoom;
  private double reported = Double.NaN;
  private long reportedAt = Long.MIN_VALUE / 2;
  private double size;
  private double warmth = 1;
  private final Elsewhere elsewhere;
  private long elsewhereShown;

  /** What one connection of this node, placed anywhere, tells of those that others place here. */
  private double elsewhereEach;

  ServerLimits(String id, Outliers outliers, NoRoom noRoom, Elsewhere elsewhere) {
    this.elsewhere = elsewhere;
    elsewhereShown = elsewhere.total();
    groups = new Groups(id);
    record = outliers.join();
    this.noRoom = noRoom;
  }

  /** The server has started anew; its size is in cores, 0 where sizes tell nothing of them. */
  public void started(boolean cold, double cores) {
    setups.restarted(cold);
    added.clear();
    elsewhereShown = elsewhere.total();
    record.end();
    reported = Double.NaN;
    size = cores;
    warmth = 1;
  }

  /** A report has come, with the load and another value, either of which may be NaN. */
  public void reported(long now, double load, double other) {
    reported = load;
    reportedAt = now;
    added.reported(now, load, other);
    elsewhereShown = elsewhere.totalAt(added.settledTo());
    noRoom.changed(this);
  }

  /** The load that the server is taken to have: what was reported, and what no report shows. */
  public double load(long now) {
    boolean told = !Double.isNaN(reported) && now - reportedAt <= OVERDUE;
    return (told ? reported : 0) + added();
  }

  /** What no report shows yet of what all nodes have added; negative where more has ended. */
  public double added() {
    return added.sum() + (elsewhere.total() - elsewhereShown) * elsewhereEach;
  }

  /** Measured anew: what others add here for each connection that this node places anywhere. */
  void othersAdd(double each) {
    elsewhereEach = each;
  }

  /** Size in cores, 0 where unknown. */
  double size() {
    return size;
  }

  /** The share of its size that it has by now; a report counts load against that share, too. */
  public void warm(double share) {
    warmth = share;
  }

  /** Size in cores that it has by now, 0 where unknown. */
  double sizeNow() {
    return size * warmth;
  }

  /** Whether a set-up may go to the server now, be it of the worthiest. */
  public boolean open(long now) {
    return record.mayTry(now) && setups.free(now) && load(now) < CEILING;
  }

  /** Whether there is room for a request of this worth that needs no more than any other. */
  boolean room(long now, double value) {
    return room(now, value, 0);
  }

  /**
   * Whether there is room for a request.
   *
   * @param value what it is worth against the worthiest, 0 to 1
   * @param extra room that it needs beyond that of any other
   */
  boolean room(long now, double value, double extra) {
    return load(now) + extra < CEILING_LEAST + (CEILING - CEILING_LEAST) * Math.sqrt(value);
  }

  /** Load that is added, or with a negative load taken, without this node's connections. */
  void add(long now, double load) {
    added.add(now, load);
  }

  /** A connection of this node stands at the server, or has been sent there. */
  void joined(long now, double load, String group) {
    added.add(now, load);
    groups.joined(group);
  }

  /** A connection of this node is gone from the server, with what it added. */
  void left(long now, double load, String group) {
    added.add(now, -load);
    groups.left(group);
    noRoom.changed(this);
  }

  /**
   * What an ending tells of the server. It may answer probes and lose requests: only their own time
   * tells of that. Breaks that come in one go are one.
   *
   * @return how long the server rests now because of it, in microseconds; 0 if it does not
   */
  public long failed(long now, Ending how) {
    return switch (how) {
      case REFUSED, BROKE -> record.failed(now, AT_ONCE);
      case TIMED_OUT -> record.failed(now, SILENT);
      case ERROR -> record.failed(now, ERRORS);
      case UNREACHED, CALLED_OFF -> {
        record.trialVoid();
        yield 0;
      }
    };
  }
}
