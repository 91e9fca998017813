package ashspar;

import ashspar.Balancer.DeduplicationScope;
import ashspar.Balancer.ListKind;
import ashspar.Balancer.Metric;
import ashspar.Balancer.Outcome;
import ashspar.Balancer.Repeatability;
import ashspar.Balancer.Request;
import ashspar.Balancer.RequestClass;
import ashspar.Balancer.ServerEntry;
import ashspar.Balancer.Settings;
import ashspar.Balancer.SizeMeaning;
import ashspar.Balancer.State;
import ashspar.Balancer.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.ToDoubleFunction;

/** Drives a policy step by step: provides the clock and the timers and records every action. */
final class PolicyDriver implements Balancer.Actions {
  static final long MS = 1_000;
  static final long SECOND = 1_000_000;

  /** Creates a balancer; tests pass a faulty one to see a check fail. */
  interface Factory {
    Balancer create(long now, Settings settings, long seed, Balancer.Actions actions);
  }

  record Attempt(long at, long id, String server, long abandonAt) {}

  private record ScheduledTask(long at, long order, Runnable task) {}

  final List<Attempt> attempts = new ArrayList<>();
  final List<Long> refused = new ArrayList<>();
  final List<Long> retryHints = new ArrayList<>();
  final List<Long> failed = new ArrayList<>();
  final List<Long> moved = new ArrayList<>();
  final List<String> probes = new ArrayList<>();
  final List<Boolean> watchCalls = new ArrayList<>();
  final List<String> actions = new ArrayList<>();
  final Map<Long, Integer> attemptCounts = new HashMap<>();
  private final PriorityQueue<ScheduledTask> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private long order;

  /**
   * The load with which each probe is answered after 2 ms, by server; null if the test answers
   * probes.
   */
  ToDoubleFunction<String> probeLoads;

  /**
   * The time after which every attempt ends with {@link #attemptStatus}, where OK stands for an
   * accepted connection; 0 if the test ends attempts.
   */
  long attemptMicros;

  Status attemptStatus = Status.OK;

  long now = 10 * SECOND;
  final Balancer balancer;

  PolicyDriver(Settings settings) {
    this(Policy::new, settings, 7);
  }

  PolicyDriver(Factory factory, Settings settings, long seed) {
    balancer = factory.create(now, settings, seed, this);
  }

  /** The settings of a test, with defaults. */
  static final class Setup {
    int rank = 0;
    int nodes = 1;
    Repeatability repeatability = Repeatability.FREE;
    DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    boolean probes = true;
    boolean peerMessages = false;
    boolean pullsDiscovery = false;
    boolean reportsDelay = true;
    int maxAttempts = 4;
    long maxRetryAfter = 0;
    double probePrice = 0.002;
    double coldShare = 0.3;
    double crossZonePrice = 0;
    List<Metric> fields = List.of(Metric.LOAD, Metric.BACKLOG_S);
    List<Balancer.Tenant> tenants = List.of();
    SizeMeaning sizes = SizeMeaning.NONE;

    private RequestClass requestClass(String name, double value) {
      return new RequestClass(
          name,
          300 * MS,
          1800 * MS,
          value,
          repeatability,
          deduplicationScope,
          5 * SECOND,
          100 * MS);
    }

    Settings settings() {
      return new Settings(
          rank,
          nodes,
          "z1",
          List.of("z1", "z2"),
          List.of(requestClass("view", 1), requestClass("list", 0.3)),
          tenants,
          new Balancer.Permissions(
              probes, peerMessages, true, false, maxRetryAfter > 0, maxAttempts, maxRetryAfter),
          new Balancer.SafetyRules(
              8 * MS, 10 * SECOND, 500 * MS, coldShare, 8 * SECOND, 3, 1500 * MS),
          new Balancer.Prices(crossZonePrice, 0.02, probePrice, 0, 0.03),
          fields,
          sizes,
          pullsDiscovery,
          true,
          0.1,
          2 * MS,
          reportsDelay);
    }
  }

  static ServerEntry server(int i, State state, long since) {
    return new ServerEntry("s" + i, i % 2 == 0 ? "z1" : "z2", "k", i / 4, state, 1, since);
  }

  static List<ServerEntry> servers(int count) {
    List<ServerEntry> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      list.add(server(i, State.READY, 0));
    }
    return list;
  }

  void listServers(int count) {
    balancer.updateServers(now, ListKind.CACHED, servers(count));
  }

  /** Advances the clock and runs the timers that expire in that time. */
  void advance(long time) {
    long until = now + time;
    while (!timers.isEmpty() && timers.peek().at() <= until) {
      ScheduledTask due = timers.poll();
      now = Math.max(now, due.at());
      due.task().run();
    }
    now = until;
  }

  private void schedule(long delay, Runnable what) {
    timers.add(new ScheduledTask(now + delay, order++, what));
  }

  private void endAttempt(long id, int attempt, String server) {
    if (attemptStatus == Status.OK) {
      balancer.connectionAccepted(now, id, attempt, server, attemptMicros);
    } else {
      balancer.attemptEnded(
          now, new Outcome(id, attempt, server, attemptStatus, attemptMicros, false, List.of()));
    }
  }

  /**
   * Returns a driver whose node is past its startup pace and has a report with a load of 0.1 of
   * every server. From then on the test answers probes and the reports are outdated.
   */
  static PolicyDriver settled(Setup setup, int servers) {
    PolicyDriver driver = new PolicyDriver(setup.settings());
    driver.listServers(servers);
    driver.settle();
    return driver;
  }

  void settle() {
    probeLoads = s -> 0.1;
    advance(4 * SECOND);
    probeLoads = null;
    probes.clear();
  }

  /**
   * Sends a request and answers all its probes alike, so that it is sent if a server has capacity.
   */
  void place(long id, double load) {
    request(id);
    answerProbes(Status.OK, load);
  }

  /** Opens connections 1 to {@code count}; load reports include them as they are opened. */
  void openConnections(int count) {
    probeLoads = s -> 0.1 + attempts.size() / 100.0;
    attemptMicros = 5 * MS;
    for (int i = 1; i <= count; i++) {
      request(i);
      advance(200 * MS);
    }
    probeLoads = null;
    attemptMicros = 0;
    probes.clear();
  }

  /** Opens a connection on a lightly loaded server. */
  void openConnection(long id) {
    place(id, 0.1);
    accepted(id);
  }

  void request(long id) {
    request(id, 1800 * MS, 0);
  }

  void request(long id, long left, double hint) {
    balancer.requestReceived(
        now, new Request(id, "k" + id, "view", null, left, hint, false, false, false));
  }

  void probed(String server, Status status, double load, double backlog) {
    balancer.probeCompleted(
        now, server, status, 2 * MS, status == Status.OK ? List.of(load, backlog) : List.of());
  }

  void outcome(long id, Status status, boolean closed) {
    int attempt = attemptCounts.get(id) - 1;
    Attempt sent = lastAttempt(id);
    balancer.attemptEnded(
        now, new Outcome(id, attempt, sent.server(), status, now - sent.at(), closed, List.of()));
  }

  void accepted(long id) {
    balancer.connectionAccepted(
        now, id, attemptCounts.get(id) - 1, lastAttempt(id).server(), 5 * MS);
  }

  Attempt lastAttempt(long id) {
    for (int i = attempts.size() - 1; i >= 0; i--) {
      if (attempts.get(i).id() == id) {
        return attempts.get(i);
      }
    }
    throw new AssertionError("request " + id + " has not been sent");
  }

  /** Answers all pending probes alike. */
  void answerProbes(Status status, double load) {
    List<String> out = List.copyOf(probes);
    probes.clear();
    for (String server : out) {
      probed(server, status, load, 0);
    }
  }

  @Override
  public void send(long id, String server, long abandonAt) {
    attempts.add(new Attempt(now, id, server, abandonAt));
    attemptCounts.merge(id, 1, Integer::sum);
    actions.add(now + " send " + id + " " + server);
    if (attemptMicros > 0) {
      int attempt = attemptCounts.get(id) - 1;
      schedule(attemptMicros, () -> endAttempt(id, attempt, server));
    }
  }

  @Override
  public void refuse(long id, long retryAfter) {
    refused.add(id);
    this.retryHints.add(retryAfter);
    actions.add(now + " refuse " + id);
  }

  @Override
  public void fail(long id) {
    failed.add(id);
    actions.add(now + " fail " + id);
  }

  @Override
  public void cancel(long id, int attempt) {
    actions.add(now + " cancel " + id);
  }

  @Override
  public void move(long id) {
    moved.add(id);
    actions.add(now + " move " + id);
  }

  @Override
  public void startTimer(long delay, long token) {
    if (delay < 1) {
      throw new AssertionError("the delay of a timer must be at least 1, not " + delay);
    }
    schedule(delay, () -> balancer.timerExpired(now, token));
  }

  @Override
  public void probe(String server) {
    actions.add(now + " probe " + server);
    if (probeLoads == null) {
      probes.add(server);
    } else {
      schedule(2 * MS, () -> probed(server, Status.OK, probeLoads.applyAsDouble(server), 0));
    }
  }

  @Override
  public void watchDiscovery(boolean on) {
    watchCalls.add(on);
  }

  @Override
  public void fetchServers() {
    actions.add(now + " fetch");
  }

  @Override
  public void sendToPeer(int peer, byte[] message) {
    actions.add(now + " tell " + peer);
  }

  @Override
  public void log(String text) {
    actions.add(now + " log " + text);
  }
}
