package ashspar;

import brassbank.config.Config;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * One node and its fleet without sockets, for benchmarks. Probes are answered at once with a fixed
 * load and timers run when they expire; the benchmark ends the attempts.
 */
final class BenchFleet implements Balancer.Actions {
  static final long SECOND_MICROS = 1_000_000;
  static final long LONG_DEADLINE_MICROS = 1_000 * SECOND_MICROS * SECOND_MICROS;

  /** The classes of the example's settings, by their value. */
  static final String HIGH_VALUE_CLASS = "presentation";

  static final String LOW_VALUE_CLASS = "preview";

  /** A load at which servers have capacity for the class of high value only. */
  static final double LOAD_FOR_HIGH_VALUE_ONLY = 0.7;

  /** A load at which only the slots of set-ups are limited. */
  static final double IDLE_LOAD = 0.01;

  private static final int GROUPS = 50;

  private record Timer(long due, long token) {}

  /** An attempt in progress or an open connection. */
  record Attempt(long id, String server) {}

  /** The attempts sent since the benchmark last emptied this queue. */
  final Queue<Attempt> attempts = new ArrayDeque<>();

  final Policy policy;
  private final boolean groups;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>((a, b) -> Long.compare(a.due(), b.due()));
  private final Queue<String> probes = new ArrayDeque<>();
  private final int targets;
  private final long step;
  private final List<Double> report;
  private long now = 10 * SECOND_MICROS;
  private long id;
  private int reportingTarget;

  /**
   * Creates a fleet of targets that report this load, and advances it ten seconds past the node's
   * start.
   */
  BenchFleet(int targets, boolean groups, double load) throws Exception {
    Balancer.Settings settings = Config.read(Map.of("LB_CONFIG", "example/config.json")).settings();
    this.targets = targets;
    this.groups = groups;
    report = List.of(load, 0.0, 1.0, 0.0);
    step = SECOND_MICROS / targets;
    policy = new Policy(now, settings, 7, this);
    List<Balancer.ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      String zone = settings.zones().get(i % settings.zones().size());
      entries.add(
          new Balancer.ServerEntry("s-" + i, zone, "fast-box", 0, Balancer.State.READY, 1, 0));
    }
    policy.updateServers(now, Balancer.ListKind.FULL, entries);
    for (int i = 0; i < 10 * targets; i++) {
      advance();
    }
  }

  /**
   * Advances the clock by a step such that each target reports once a second, and runs expired
   * timers.
   */
  void advance() {
    now += step;
    reportingTarget = (reportingTarget + 1) % targets;
    answer("s-" + reportingTarget);
    while (!timers.isEmpty() && timers.peek().due() <= now) {
      policy.timerExpired(now, timers.poll().token());
      answerProbes();
    }
  }

  /** Sends a request and answers the probes that it waits for; returns its id. */
  long startRequest(String requestClass, long timeLeft) {
    id++;
    String practice = id % 2 == 0 ? "kelvin-stone" : "forthbank";
    String group = groups ? "model-" + id % GROUPS : null;
    policy.requestReceived(
        now,
        new Balancer.Request(
            id, "key", group, requestClass, practice, timeLeft, 0, false, false, false));
    answerProbes();
    return id;
  }

  /** Withdraws a request that was not answered. */
  void withdraw(long request) {
    policy.requestWithdrawn(now, request);
  }

  /** Accepts an attempt. */
  void accept(Attempt attempt) {
    policy.connectionAccepted(now, attempt.id(), 0, attempt.server(), 1_000);
  }

  /** Closes a connection. */
  void closeConnection(Attempt connection) {
    policy.attemptEnded(
        now,
        new Balancer.Outcome(
            connection.id(), 0, connection.server(), Balancer.Status.OK, 1_000, true, List.of()));
  }

  private void answerProbes() {
    for (String server = probes.poll(); server != null; server = probes.poll()) {
      answer(server);
    }
  }

  private void answer(String server) {
    policy.probeCompleted(now, server, Balancer.Status.OK, 500, report);
  }

  @Override
  public void send(long request, String server, long abandonAt) {
    attempts.add(new Attempt(request, server));
  }

  @Override
  public void startTimer(long delay, long token) {
    timers.add(new Timer(now + delay, token));
  }

  @Override
  public void probe(String server) {
    probes.add(server);
  }

  @Override
  public void refuse(long request, long retryAfter) {}

  @Override
  public void fail(long request) {}

  @Override
  public void cancel(long request, int attempt) {}

  @Override
  public void move(long request) {}

  @Override
  public void watchDiscovery(boolean on) {}

  @Override
  public void fetchServers() {}

  @Override
  public void sendToPeer(int peer, byte[] message) {}

  @Override
  public void log(String text) {}
}
