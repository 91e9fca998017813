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
  void servers(long now, ListKind kind, List<ServerEntry> entries);

  /** A client's connection request has reached this node, which now owes it one final answer. */
  void request(long now, Request request);

  /** A connection that was already routed through this node when it started. */
  void resumed(long now, Request request, String server);

  /** The connection stands. From here on no deadline runs. */
  void accepted(long now, long id, int attempt, String server, long elapsed);

  /** News of an open connection, or of the server that holds it. */
  void note(long now, long id, int attempt, String server, NoteKind kind, double value);

  /** How an attempt ended. Each attempt has exactly one outcome. */
  void outcome(long now, Outcome outcome);

  /** The client has left, or its request is overdue: nothing more is owed. */
  void lapsed(long now, long id);

  /** The node can hold a request no longer: it is answered now, as what may have run allows. */
  void giveUp(long now, long id);

  /** A timer set through {@link Actions#timer} is due. */
  void timer(long now, long token);

  /** A probe's answer, or its failure; {@code report} is empty where none came with it. */
  void probed(long now, String server, Status status, long elapsed, List<Double> report);

  /** The settings have changed; the zone, the classes' names and how lists come are as before. */
  void settings(long now, Settings settings);

  /** How much of the fleet's budgets this node may spend; until it is told, by the settings. */
  default void share(long now, Share share) {}

  /** Which servers this node asks and places at first; null for all, as until it is told. */
  default void own(long now, Set<String> servers) {}

  /** What the node holds itself to, as plain values. */
  LimitsSnapshot limits();

  /** A message of another node; anybody's bytes, so nothing in them is trusted. */
  default void peer(long now, int from, byte[] message) {}

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

    /** Asks for {@link Balancer#timer} after {@code delay}. */
    void timer(long delay, long token);

    /** Asks a server for its load. */
    void probe(String server);

    /** Asks discovery for changes from now on, or withdraws that. */
    void watch(boolean on);

    /** Asks discovery for the whole list once. */
    void fetch();

    /** Sends at most 256 bytes to one node, or to all others when {@code peer} is -1. */
    void tell(int peer, byte[] message);

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
    final Ending ending;

    Status(boolean neverRan, Ending ending) {
      this.neverRan = neverRan;
      this.ending = ending;
    }
  }

  /** Whether a request may be repeated: anytime, among servers that drop repeats, or never. */
  enum Effect {
    FREE,
    GUARDED,
    SINGLE_SHOT
  }

  /** Which servers share the memory that drops a guarded request's repeats. */
  enum Group {
    ALL,
    ZONE,
    CELL
  }

  /** What a note tells. */
  enum NoteKind {
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

  /** A server as discovery lists it; {@code since} is its last start, 0 for long ago. */
  record ServerEntry(
      String id, String zone, String kind, int cell, State state, double size, long since) {
    public ServerEntry {
      require(id != null && !id.isEmpty(), "a server entry needs an id");
      require(state != null, "a server entry needs a state");
    }
  }

  /**
   * A connection request; {@code left} is the time until this try's deadline, {@code group} what
   * its connection shares work with, or null.
   */
  record Request(
      long id,
      String key,
      String group,
      String requestClass,
      String tenant,
      long left,
      double hint,
      boolean repeat,
      boolean midFlow,
      boolean returning) {
    public Request {
      require(requestClass != null, "a request needs a class");
      require(left >= 0, "a request's time left must not be negative");
      require(hint >= 0, "a request's hint must be 0 (none) or more");
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
      long elapsed,
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
   * @param part of the budget until then, above 0 and at most 1
   * @param base the part from then on, as much or less
   * @param turn which of those that share it is, from 0 on, below {@code of}
   * @param of how many share
   * @param until on the module's clock
   */
  record Share(double part, double base, int turn, int of, long until) {
    public Share {
      require(base > 0 && base <= part && part <= 1, "a part is above 0 and at most 1");
      require(turn >= 0 && turn < of, "a turn is below the number of those that share");
    }
  }

  /** A class of requests. */
  record RequestClass(
      String name,
      long aim,
      long deadline,
      double worth,
      Effect effect,
      Group group,
      long window,
      double messageAim) {
    public RequestClass {
      require(name != null, "a class needs a name");
      require(worth >= 0, "a class's worth must not be negative");
      require(aim >= 0 && deadline >= 0 && window >= 0, "a class's times must not be negative");
    }
  }

  /** A tenant, its share of the service and what that is in connections (0: not known). */
  record Tenant(String name, double share, double quotaPerSecond, double quotaConnections) {
    public Tenant {
      require(name != null, "a tenant needs a name");
    }
  }

  /** What a node may do. */
  record Limits(
      boolean probes,
      boolean peers,
      boolean cancel,
      boolean secondCopies,
      boolean retryAfter,
      int maxAttempts,
      long maxRetryAfter) {
    public Limits {
      require(maxAttempts >= 1, "at least one attempt must be allowed");
    }
  }

  /** The figures of the rules; times in microseconds. */
  record Rules(
      long answerSlack,
      long askWithin,
      long drainGrace,
      double coldShare,
      long warmUp,
      double fallMultiple,
      long fallWindow) {
    public Rules {
      require(answerSlack >= 0 && drainGrace >= 0, "the rules' times must not be negative");
      require(warmUp >= 0 && fallWindow >= 0, "the rules' times must not be negative");
    }
  }

  /** What is taken off the result, each per unit of its own. */
  record Prices(double crossZone, double waste, double probe, double peer, double moves) {}

  /** All that a node is told at its start; {@code tellsDelay}: notes of kind DELAY come. */
  record Settings(
      int rank,
      int nodes,
      String zone,
      List<String> zones,
      List<RequestClass> classes,
      List<Tenant> tenants,
      Limits limits,
      Rules rules,
      Prices prices,
      List<Metric> reportFields,
      SizeMeaning sizes,
      boolean asks,
      boolean passThrough,
      double overShareWorth,
      long tick,
      boolean tellsDelay) {
    public Settings {
      require(nodes >= 1, "there is at least one node");
      require(rank >= 0, "a node's rank must not be negative");
      require(!classes.isEmpty(), "there is at least one class");
      require(limits != null && rules != null && prices != null, "limits, rules, prices needed");
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
