package ashspar;

import ashspar.limits.Ending;
import ashspar.limits.LimitsSnapshot;
import java.util.List;
import java.util.Set;

/**
 * The decisions of one node: its whole interface, types included.
 *
 * <p>The embedding node calls one method per event and carries out what the balancer asks for
 * through {@link Actions}. Time comes in with each event, in microseconds of a clock that never
 * goes back; randomness comes from the seed given at the start. A balancer keeps no thread, no
 * clock and no static state, so that the same events always give the same actions.
 *
 * <p>A restart of the node is a new balancer. Every method must be called from one thread at a
 * time.
 */
public interface Balancer {

  /** What discovery knows of the servers. Late by nature: it says that a process runs, no more. */
  void updateServers(long now, ListKind kind, List<ServerEntry> entries);

  /** A client's connection request has reached this node, which now owes it one final answer. */
  void requestReceived(long now, Request request);

  /** A connection that was already routed through this node when it started. */
  void connectionResumed(long now, Request request, String server);

  /** The connection stands. From here on no deadline runs. */
  void connectionAccepted(long now, long id, int attempt, String server, long elapsed);

  /** News of an open connection, or of the server that holds it. */
  void connectionMeasured(
      long now, long id, int attempt, String server, MeasurementKind kind, double value);

  /** How an attempt ended. Each attempt has exactly one outcome. */
  void attemptEnded(long now, Outcome outcome);

  /** The client has left, or its request is overdue: nothing more is owed. */
  void requestWithdrawn(long now, long id);

  /** The node can hold a request no longer: it is answered now, as what may have run allows. */
  void answerNow(long now, long id);

  /** A timer set through {@link Actions#startTimer} is due. */
  void timerExpired(long now, long token);

  /** A probe's answer, or its failure; {@code report} is empty where none came with it. */
  void probeCompleted(long now, String server, Status status, long elapsed, List<Double> report);

  /** The settings have changed; the zone, the classes' names and how lists come are as before. */
  void updateSettings(long now, Settings settings);

  /** How much of the fleet's budgets this node may spend; until it is told, by the settings. */
  default void updateBudgetShare(long now, BudgetShare share) {}

  /** Which servers this node asks and places at first; null for all, as until it is told. */
  default void assignServers(long now, Set<String> servers) {}

  /** What the node holds itself to, as plain values. */
  LimitsSnapshot limits();

  /** A message of another node; anybody's bytes, so nothing in them is trusted. */
  default void peerMessageReceived(long now, int from, byte[] message) {}

  /** What a balancer can have done. Actions take effect at once, in the order they are called. */
  interface Actions {
    /** Starts an attempt, given up at {@code abandonAt}; 0 leaves that to the client's deadline. */
    void send(long id, String server, long abandonAt);

    /** Final answer: not served, and trying again is harmless. */
    void refuse(long id, long retryAfter);

    /** Final answer: not served, and nothing is promised. */
    void fail(long id);

    /** No longer waits for an attempt. */
    void cancel(long id, int attempt);

    /** Ends an open connection politely; its client comes again. */
    void move(long id);

    /** Asks for {@link Balancer#timerExpired} after {@code delay}. */
    void startTimer(long delay, long token);

    /** Asks a server for its load. */
    void probe(String server);

    /** Asks discovery for changes from now on, or withdraws that. */
    void watchDiscovery(boolean on);

    /** Asks discovery for the whole list once. */
    void fetchServers();

    /** Sends at most 256 bytes to one node, or to all others when {@code peer} is -1. */
    void sendToPeer(int peer, byte[] message);

    /** A line for the operators. */
    void log(String text);
  }

  /** Kinds of list. */
  enum ListKind {
    /** Only what has changed. */
    DELTA,
    /** Everything: a server that is missing has been removed. */
    FULL,
    /** Everything this node last knew, perhaps long ago. */
    CACHED,
    /** A call has failed; the list stands as it was. */
    FAILED
  }

  /** What discovery says of a server. */
  enum State {
    GONE,
    READY,
    DRAINING
  }

  /** How an attempt or a probe has ended. */
  enum Status {
    ERROR(false, Ending.ERROR),
    OK(false, Ending.CALLED_OFF),
    FULL(true, Ending.REFUSED),
    TIMEOUT(false, Ending.TIMED_OUT),
    CONNECT_FAILED(true, Ending.UNREACHED),
    RESET(false, Ending.BROKE),
    CANCELLED(false, Ending.CALLED_OFF),
    MOOT(true, Ending.UNREACHED);

    /** True where this ending proves that the attempt never ran. */
    public final boolean neverRan;

    /** What it is to the limits. */
    final Ending setupOutcome;

    Status(boolean neverRan, Ending ending) {
      this.neverRan = neverRan;
      this.setupOutcome = ending;
    }
  }

  /** Whether a request may be repeated: anytime, among servers that drop repeats, or never. */
  enum Repeatability {
    FREE,
    GUARDED,
    SINGLE_SHOT
  }

  /** Which servers share the memory that drops a guarded request's repeats. */
  enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
  }

  /** What a note tells. */
  enum MeasurementKind {
    /** The connection's load, in microseconds of work a second. */
    LOAD,
    /** Milliseconds that a message takes at the server. */
    DELAY
  }

  /** Values a load report may hold. */
  enum Metric {
    CONNECTIONS,
    QUEUE,
    UTILIZATION,
    LATENCY_MS,
    RATE,
    ERRORS,
    /** Load asked of the server over what it can do. */
    LOAD,
    /** Seconds of work piled up. */
    BACKLOG_S,
    /** A value this version does not know. */
    OTHER
  }

  /** What the size of a server entry means. */
  enum SizeMeaning {
    NONE,
    NOMINAL,
    ROUGH,
    /** Nominal size lowered by what the server holds. */
    LIVE
  }

  /** A server as discovery lists it; {@code startedAtMicros} is its last start, 0 for long ago. */
  record ServerEntry(
      String id,
      String zone,
      String serverType,
      int cell,
      State state,
      double size,
      long startedAtMicros) {
    public ServerEntry {
      require(id != null && !id.isEmpty(), "a server entry needs an id");
      require(state != null, "a server entry needs a state");
    }
  }

  /**
   * A connection request; {@code timeLeftMicros} is the time until this try's deadline, {@code
   * affinityGroup} what its connection shares work with, or null.
   */
  record Request(
      long id,
      String clientKey,
      String affinityGroup,
      String requestClass,
      String tenant,
      long timeLeftMicros,
      double loadHint,
      boolean retry,
      boolean midFlow,
      boolean reconnecting) {
    public Request {
      require(requestClass != null, "a request needs a class");
      require(timeLeftMicros >= 0, "a request's time left must not be negative");
      require(loadHint >= 0, "a request's hint must be 0 (none) or more");
    }

    /** A request whose connection shares work with no other. */
    public Request(
        long id,
        String key,
        String requestClass,
        String tenant,
        long left,
        double hint,
        boolean repeat,
        boolean midFlow,
        boolean returning) {
      this(id, key, null, requestClass, tenant, left, hint, repeat, midFlow, returning);
    }
  }

  /** An attempt's end; {@code closed} says that the request has its final answer. */
  record Outcome(
      long id,
      int attempt,
      String server,
      Status status,
      long elapsedMicros,
      boolean closed,
      List<Double> report) {
    public Outcome {
      require(status != null, "an outcome needs a status");
      report = report == null ? List.of() : List.copyOf(report);
    }
  }

  /**
   * A part of each budget that all nodes spend together.
   *
   * @param fraction of the budget until then, above 0 and at most 1
   * @param baseFraction the part from then on, as much or less
   * @param index which of those that share it is, from 0 on, below {@code of}
   * @param participants how many share
   * @param untilMicros on the module's clock
   */
  record BudgetShare(
      double fraction, double baseFraction, int index, int participants, long untilMicros) {
    public BudgetShare {
      require(
          baseFraction > 0 && baseFraction <= fraction && fraction <= 1,
          "a part is above 0 and at most 1");
      require(index >= 0 && index < participants, "a turn is below the number of those that share");
    }
  }

  /** A class of requests. */
  record RequestClass(
      String name,
      long answerGoalMicros,
      long deadlineMicros,
      double value,
      Repeatability repeatability,
      DeduplicationScope deduplicationScope,
      long deduplicationWindowMicros,
      double messageDelayGoalMicros) {
    public RequestClass {
      require(name != null, "a class needs a name");
      require(value >= 0, "a class's worth must not be negative");
      require(
          answerGoalMicros >= 0 && deadlineMicros >= 0 && deduplicationWindowMicros >= 0,
          "a class's times must not be negative");
    }
  }

  /** A tenant, its share of the service and what that is in connections (0: not known). */
  record Tenant(String name, double share, double quotaPerSecond, double quotaConnections) {
    public Tenant {
      require(name != null, "a tenant needs a name");
    }
  }

  /** What a node may do. */
  record Permissions(
      boolean probes,
      boolean peerMessages,
      boolean cancel,
      boolean secondCopies,
      boolean retryAfter,
      int maxAttempts,
      long maxRetryAfterMicros) {
    public Permissions {
      require(maxAttempts >= 1, "at least one attempt must be allowed");
    }
  }

  /** The figures of the rules; times in microseconds. */
  record SafetyRules(
      long answerSlackMicros,
      long askWithinMicros,
      long drainGraceMicros,
      double coldCapacity,
      long warmUpMicros,
      double overloadMultiple,
      long overloadWindowMicros) {
    public SafetyRules {
      require(
          answerSlackMicros >= 0 && drainGraceMicros >= 0, "the rules' times must not be negative");
      require(
          warmUpMicros >= 0 && overloadWindowMicros >= 0, "the rules' times must not be negative");
    }
  }

  /** What is taken off the result, each per unit of its own. */
  record Prices(double crossZone, double waste, double probe, double peer, double moves) {}

  /**
   * All that a node is told at its start; {@code reportsDelay}: measurements of kind DELAY come.
   */
  record Settings(
      int rank,
      int nodeCount,
      String zone,
      List<String> zones,
      List<RequestClass> classes,
      List<Tenant> tenants,
      Permissions permissions,
      SafetyRules safetyRules,
      Prices prices,
      List<Metric> reportFields,
      SizeMeaning sizeMeaning,
      boolean pullsDiscovery,
      boolean passThrough,
      double overShareValue,
      long timerResolutionMicros,
      boolean reportsDelay) {
    public Settings {
      require(nodeCount >= 1, "there is at least one node");
      require(rank >= 0, "a node's rank must not be negative");
      require(!classes.isEmpty(), "there is at least one class");
      require(
          permissions != null && safetyRules != null && prices != null,
          "limits, rules, prices needed");
      zones = List.copyOf(zones);
      classes = List.copyOf(classes);
      tenants = List.copyOf(tenants);
      reportFields = List.copyOf(reportFields);
    }
  }

  /** Throws where a caller breaks the contract, saying what it is. */
  static void require(boolean holds, String contract) {
    if (!holds) {
      throw new IllegalArgumentException(contract);
    }
  }
}
