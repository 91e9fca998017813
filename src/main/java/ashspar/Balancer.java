package ashspar;

import ashspar.limits.LimitsSnapshot;
import ashspar.limits.SetupOutcome;
import java.util.List;
import java.util.Set;

/**
 * The decision module of one node. This interface, with its nested types, is everything that an
 * embedder needs.
 *
 * <p>The embedding node calls one method per event and carries out the actions that the balancer
 * requests through {@link Actions}. Each event carries the current time {@code now}, in
 * microseconds of a monotonic clock; all randomness comes from the seed given at construction. A
 * balancer has no threads, no clock and no static state, so the same sequence of events always
 * produces the same actions.
 *
 * <p>A balancer does not survive a restart of its node: the new process creates a new one.
 * Instances are not thread-safe; calls must be serialized by the node.
 */
public interface Balancer {

  /**
   * Updates the servers from a list of discovery. Discovery lags behind, and a listed server is
   * only known to have a running process, not to be healthy.
   */
  void updateServers(long now, ListKind kind, List<ServerEntry> entries);

  /**
   * Receives a client's connection request. From now on the node owes the client exactly one final
   * answer.
   */
  void requestReceived(long now, Request request);

  /**
   * Registers a connection that was established before this balancer was created and that is still
   * open.
   */
  void connectionResumed(long now, Request request, String server);

  /**
   * Reports that a server has accepted the attempt, so that the connection is established. The
   * request's deadline no longer applies.
   */
  void connectionAccepted(long now, long id, int attempt, String server, long elapsed);

  /** Reports a measurement of an open connection or of the server that holds it. */
  void connectionMeasured(
      long now, long id, int attempt, String server, MeasurementKind kind, double value);

  /** Reports how an attempt ended. Each attempt has exactly one outcome. */
  void attemptEnded(long now, Outcome outcome);

  /**
   * Reports that the client has disconnected or that its deadline has passed. No answer is owed any
   * more.
   */
  void requestWithdrawn(long now, long id);

  /**
   * Requires a final answer at once, because the node cannot keep the request any longer. The
   * answer depends on whether an attempt may already have run.
   */
  void answerNow(long now, long id);

  /** Reports that a timer started with {@link Actions#startTimer} has expired. */
  void timerExpired(long now, long token);

  /**
   * Reports the outcome of a probe. {@code report} is the load report of the answer, empty if there
   * is none.
   */
  void probeCompleted(long now, String server, Status status, long elapsed, List<Double> report);

  /**
   * Replaces the settings. The zone, the names of the classes and the discovery mode must not
   * change.
   */
  void updateSettings(long now, Settings settings);

  /**
   * Sets this node's share of the budgets of the fleet. Until the first call, the rank and the
   * number of nodes from the settings apply.
   */
  default void updateBudgetShare(long now, BudgetShare share) {}

  /**
   * Assigns the subset of servers that this node probes regularly and prefers for placements; null,
   * the initial state, means all servers.
   */
  default void assignServers(long now, Set<String> servers) {}

  /** Returns the current values of the limits that this node applies. */
  LimitsSnapshot limits();

  /**
   * Receives a message from another node. Its content is not authenticated and must not be trusted.
   */
  default void peerMessageReceived(long now, int from, byte[] message) {}

  /**
   * The actions that a balancer can request. They take effect immediately, in the order of the
   * calls.
   */
  interface Actions {
    /**
     * Sends the request to a server. The attempt times out at {@code abandonAt}; 0 means that only
     * the client's deadline applies.
     */
    void send(long id, String server, long abandonAt);

    /** Gives the final answer that the request was not served and may safely be retried. */
    void refuse(long id, long retryAfter);

    /**
     * Gives the final answer that the request was not served, without stating whether it may have
     * run.
     */
    void fail(long id);

    /** Stops waiting for the attempt. */
    void cancel(long id, int attempt);

    /** Asks the client of an open connection to reconnect, and closes the connection. */
    void move(long id);

    /** Starts a timer that calls {@link Balancer#timerExpired} after {@code delay} microseconds. */
    void startTimer(long delay, long token);

    /** Requests a load report from a server. */
    void probe(String server);

    /** Starts or cancels the subscription to changes from discovery. */
    void watchDiscovery(boolean on);

    /** Requests the complete server list from discovery once. */
    void fetchServers();

    /** Sends at most 256 bytes to one node, or to all other nodes if {@code peer} is -1. */
    void sendToPeer(int peer, byte[] message);

    /** Writes a line to the operators' log. */
    void log(String text);
  }

  /** The kinds of server lists. */
  enum ListKind {
    /** Contains only servers that have changed. */
    DELTA,
    /** Contains all servers; a server that is missing has been removed. */
    FULL,
    /** Contains all servers known to this node earlier, possibly long ago. */
    CACHED,
    /** The call to discovery failed; the previous list stays valid. */
    FAILED
  }

  /** The state of a server as reported by discovery. */
  enum State {
    GONE,
    READY,
    DRAINING
  }

  /** The outcomes of an attempt or a probe. */
  enum Status {
    ERROR(false, SetupOutcome.ERROR),
    OK(false, SetupOutcome.CALLED_OFF),
    FULL(true, SetupOutcome.REFUSED),
    TIMEOUT(false, SetupOutcome.TIMED_OUT),
    CONNECT_FAILED(true, SetupOutcome.UNREACHED),
    RESET(false, SetupOutcome.BROKE),
    CANCELLED(false, SetupOutcome.CALLED_OFF),
    MOOT(true, SetupOutcome.UNREACHED);

    /** Whether this status proves that the server never ran the attempt. */
    public final boolean neverRan;

    /** How the limits classify this status. */
    final SetupOutcome setupOutcome;

    Status(boolean neverRan, SetupOutcome ending) {
      this.neverRan = neverRan;
      this.setupOutcome = ending;
    }
  }

  /**
   * Whether a request may be sent again after an attempt that may have run: always ({@code FREE}),
   * only to servers that drop duplicates ({@code GUARDED}), or never ({@code SINGLE_SHOT}).
   */
  enum Repeatability {
    FREE,
    GUARDED,
    SINGLE_SHOT
  }

  /**
   * The set of servers that share the record by which duplicates of a {@code GUARDED} request are
   * dropped.
   */
  enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
  }

  /** The quantities that {@link #connectionMeasured} reports. */
  enum MeasurementKind {
    /** The load of the connection, in microseconds of CPU time per second. */
    LOAD,
    /** The time that the server takes to answer a message, in milliseconds. */
    DELAY
  }

  /** The values that a load report may contain. */
  enum Metric {
    CONNECTIONS,
    QUEUE,
    UTILIZATION,
    LATENCY_MS,
    RATE,
    ERRORS,
    /** The load demanded of the server relative to its capacity. */
    LOAD,
    /** The accumulated work, in seconds. */
    BACKLOG_S,
    /** A value that this version does not know. */
    OTHER
  }

  /** The meaning of the size in a server entry. */
  enum SizeMeaning {
    NONE,
    NOMINAL,
    ROUGH,
    /** The nominal size reduced by the load that the server currently holds. */
    LIVE
  }

  /**
   * A server as listed by discovery. {@code startedAtMicros} is the time of its last start, 0 if it
   * started long ago.
   */
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
   * A connection request.
   *
   * @param id the id of the request, unique among the active ones
   * @param clientKey identifies the client when it reconnects, or null
   * @param affinityGroup the group of connections that share work on a server, or null
   * @param requestClass the name of one of the configured classes
   * @param tenant the name of the tenant as the client states it, or null
   * @param timeLeftMicros the time until the client's deadline
   * @param loadHint the expected load in microseconds of CPU time per second, 0 if unknown
   * @param retry whether the client repeats a request that was refused
   * @param midFlow whether the request continues a connection that this process did not place
   * @param reconnecting whether the client reconnects after its connection was closed
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
      require(loadHint >= 0, "a request's load hint must not be negative");
    }

    /** Creates a request whose connection belongs to no affinity group. */
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

  /**
   * The outcome of an attempt. {@code closed} is true if the request already has its final answer.
   */
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
   * This node's share of each budget that all nodes spend together.
   *
   * @param fraction the share until {@code untilMicros}, above 0 and at most 1
   * @param baseFraction the share from then on, above 0 and at most {@code fraction}
   * @param index the index of this node among the participants, from 0
   * @param participants the number of nodes that share the budgets
   * @param untilMicros when {@code fraction} expires, on the module's clock
   */
  record BudgetShare(
      double fraction, double baseFraction, int index, int participants, long untilMicros) {
    public BudgetShare {
      require(
          baseFraction > 0 && baseFraction <= fraction && fraction <= 1,
          "the fractions of a share must be above 0, at most 1, and the base at most the whole");
      require(
          index >= 0 && index < participants,
          "the index of a share must be below the number of participants");
    }
  }

  /**
   * A class of requests.
   *
   * @param name the name that requests refer to
   * @param answerGoalMicros the time within which a request should be answered
   * @param deadlineMicros the time after which clients of this class give up
   * @param value the value of serving a request, relative to the other classes
   * @param repeatability whether a request may be sent again
   * @param deduplicationScope the servers that share the record of duplicates
   * @param deduplicationWindowMicros the time for which duplicates are recognized
   * @param messageDelayGoalMicros the delay above which a server answers messages too late
   */
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
      require(value >= 0, "a class's value must not be negative");
      require(
          answerGoalMicros >= 0 && deadlineMicros >= 0 && deduplicationWindowMicros >= 0,
          "a class's times must not be negative");
    }
  }

  /**
   * A tenant with its share of the service. {@code quotaPerSecond} and {@code quotaConnections}
   * express the share in requests per second and in connections; 0 means unknown.
   */
  record Tenant(String name, double share, double quotaPerSecond, double quotaConnections) {
    public Tenant {
      require(name != null, "a tenant needs a name");
    }
  }

  /** The actions that a node is allowed to take, and their bounds. */
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

  /**
   * The parameters of the safety rules.
   *
   * @param answerSlackMicros the time past a request's deadline within which it must be answered
   * @param askWithinMicros accepted for completeness; not used by this module
   * @param drainGraceMicros the time after a drain was announced during which attempts are
   *     tolerated
   * @param coldCapacity the share of its capacity that a server has when it starts
   * @param warmUpMicros the time until a server has its full capacity
   * @param overloadMultiple the multiple of its capacity at which a server fails
   * @param overloadWindowMicros the time over which that multiple is measured
   */
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
          answerSlackMicros >= 0 && drainGraceMicros >= 0,
          "the times of the safety rules must not be negative");
      require(
          warmUpMicros >= 0 && overloadWindowMicros >= 0,
          "the times of the safety rules must not be negative");
    }
  }

  /** The prices of actions in points of the score, each per unit of its own. */
  record Prices(double crossZone, double waste, double probe, double peer, double moves) {}

  /**
   * The complete settings of a node.
   *
   * @param rank the rank of this node, from 0
   * @param nodeCount the number of nodes
   * @param zone the zone of this node
   * @param zones the names of all zones
   * @param classes the classes of requests, at least one
   * @param tenants the tenants with a share of the service
   * @param permissions the actions that this node may take
   * @param safetyRules the parameters of the safety rules
   * @param prices the prices of actions
   * @param reportFields the fields of a load report, in their order
   * @param sizeMeaning the meaning of the size in server entries
   * @param pullsDiscovery whether the node must subscribe to changes of the server list
   * @param passThrough whether connections pass through the node
   * @param overShareValue the factor applied to the value of requests of tenants over their share
   * @param timerResolutionMicros the resolution of the node's timers
   * @param reportsDelay whether measurements of kind {@code DELAY} are reported
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
      require(nodeCount >= 1, "at least one node is needed");
      require(rank >= 0, "a node's rank must not be negative");
      require(!classes.isEmpty(), "at least one class is needed");
      require(
          permissions != null && safetyRules != null && prices != null,
          "permissions, safety rules and prices must be given");
      zones = List.copyOf(zones);
      classes = List.copyOf(classes);
      tenants = List.copyOf(tenants);
      reportFields = List.copyOf(reportFields);
    }
  }

  /** Throws an {@link IllegalArgumentException} with the violated contract unless {@code holds}. */
  static void require(boolean holds, String contract) {
    if (!holds) {
      throw new IllegalArgumentException(contract);
    }
  }
}
