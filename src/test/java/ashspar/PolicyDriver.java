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

/** Drives a policy by hand: keeps the clock and the timers and writes down every action. */
final class PolicyDriver implements Balancer.Actions {
  static final long MS = 1_000;
  static final long SECOND = 1_000_000;

  /** Starts a module; tests put a faulty one in the policy's place to see a check fail. */
  interface Factory {
    Balancer create(long now, Settings settings, long seed, Balancer.Actions actions);
  }

  record Sent(long at, long id, String server, long abandonAt) {}

  private record Due(long at, long order, Runnable what) {}

  final List<Sent> sends = new ArrayList<>();
  final List<Long> refused = new ArrayList<>();
  final List<Long> retryAfter = new ArrayList<>();
  final List<Long> failed = new ArrayList<>();
  final List<Long> moved = new ArrayList<>();
  final List<String> probes = new ArrayList<>();
  final List<Boolean> watches = new ArrayList<>();
  final List<String> all = new ArrayList<>();
  final Map<Long, Integer> attempts = new HashMap<>();
  private final PriorityQueue<Due> agenda =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private long order;

  /** Answers every probe after 2 ms with the load of its server; null leaves probes to the test. */
  ToDoubleFunction<String> loads;

  /** Every attempt ends so after so long, OK for a connection; 0 leaves attempts to the test. */
  long takes;

  Status ends = Status.OK;

  long now = 10 * SECOND;
  final Balancer balancer;

  PolicyDriver(Settings settings) {
    this(Policy::new, settings, 7);
  }

  PolicyDriver(Factory factory, Settings settings, long seed) {
    balancer = factory.create(now, settings, seed, this);
  }

  /** Settings a test starts from. */
  static final class Setup {
    int rank = 0;
    int nodes = 1;
    Repeatability effect = Repeatability.FREE;
    DeduplicationScope group = DeduplicationScope.ALL;
    boolean probes = true;
    boolean peers = false;
    boolean asks = false;
    boolean tellsDelay = true;
    int maxAttempts = 4;
    long maxRetryAfter = 0;
    double probePrice = 0.002;
    double coldShare = 0.3;
    double crossZonePrice = 0;
    List<Metric> fields = List.of(Metric.LOAD, Metric.BACKLOG_S);
    List<Balancer.Tenant> tenants = List.of();
    SizeMeaning sizes = SizeMeaning.NONE;

    private RequestClass requestClass(String name, double worth) {
      return new RequestClass(
          name, 300 * MS, 1800 * MS, worth, effect, group, 5 * SECOND, 100 * MS);
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
              probes, peers, true, false, maxRetryAfter > 0, maxAttempts, maxRetryAfter),
          new Balancer.SafetyRules(
              8 * MS, 10 * SECOND, 500 * MS, coldShare, 8 * SECOND, 3, 1500 * MS),
          new Balancer.Prices(crossZonePrice, 0.02, probePrice, 0, 0.03),
          fields,
          sizes,
          asks,
          true,
          0.1,
          2 * MS,
          tellsDelay);
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

  void list(int count) {
    balancer.updateServers(now, ListKind.CACHED, servers(count));
  }

  /** Lets time pass, with the timers that fall due in it. */
  void pass(long time) {
    long until = now + time;
    while (!agenda.isEmpty() && agenda.peek().at() <= until) {
      Due due = agenda.poll();
      now = Math.max(now, due.at());
      due.what().run();
    }
    now = until;
  }

  private void later(long delay, Runnable what) {
    agenda.add(new Due(now + delay, order++, what));
  }

  private void ended(long id, int attempt, String server) {
    if (ends == Status.OK) {
      balancer.connectionAccepted(now, id, attempt, server, takes);
    } else {
      balancer.attemptEnded(now, new Outcome(id, attempt, server, ends, takes, false, List.of()));
    }
  }

  /**
   * A node past the pace of its first seconds, which has heard of every server, of a load of 0.1;
   * from here on the test answers what is asked, and reports are stale.
   */
  static PolicyDriver settled(Setup setup, int servers) {
    PolicyDriver script = new PolicyDriver(setup.settings());
    script.list(servers);
    script.settle();
    return script;
  }

  void settle() {
    loads = s -> 0.1;
    pass(4 * SECOND);
    loads = null;
    probes.clear();
  }

  /** A request whose probes are all answered alike; it is out now, if there is a place for it. */
  void place(long id, double load) {
    request(id);
    answerProbes(Status.OK, load);
  }

  /** Opens connections 1 to {@code count}, which reports show as they come. */
  void fill(int count) {
    loads = s -> 0.1 + sends.size() / 100.0;
    takes = 5 * MS;
    for (int i = 1; i <= count; i++) {
      request(i);
      pass(200 * MS);
    }
    loads = null;
    takes = 0;
    probes.clear();
  }

  /** A connection that stands, at a server of little load. */
  void open(long id) {
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
    int attempt = attempts.get(id) - 1;
    Sent sent = last(id);
    balancer.attemptEnded(
        now, new Outcome(id, attempt, sent.server(), status, now - sent.at(), closed, List.of()));
  }

  void accepted(long id) {
    balancer.connectionAccepted(now, id, attempts.get(id) - 1, last(id).server(), 5 * MS);
  }

  Sent last(long id) {
    for (int i = sends.size() - 1; i >= 0; i--) {
      if (sends.get(i).id() == id) {
        return sends.get(i);
      }
    }
    throw new AssertionError("request " + id + " was never sent");
  }

  /** Answers every probe that is out, all alike. */
  void answerProbes(Status status, double load) {
    List<String> out = List.copyOf(probes);
    probes.clear();
    for (String server : out) {
      probed(server, status, load, 0);
    }
  }

  @Override
  public void send(long id, String server, long abandonAt) {
    sends.add(new Sent(now, id, server, abandonAt));
    attempts.merge(id, 1, Integer::sum);
    all.add(now + " send " + id + " " + server);
    if (takes > 0) {
      int attempt = attempts.get(id) - 1;
      later(takes, () -> ended(id, attempt, server));
    }
  }

  @Override
  public void refuse(long id, long retryAfter) {
    refused.add(id);
    this.retryAfter.add(retryAfter);
    all.add(now + " refuse " + id);
  }

  @Override
  public void fail(long id) {
    failed.add(id);
    all.add(now + " fail " + id);
  }

  @Override
  public void cancel(long id, int attempt) {
    all.add(now + " cancel " + id);
  }

  @Override
  public void move(long id) {
    moved.add(id);
    all.add(now + " move " + id);
  }

  @Override
  public void startTimer(long delay, long token) {
    if (delay < 1) {
      throw new AssertionError("a timer must lie ahead, not at " + delay);
    }
    later(delay, () -> balancer.timerExpired(now, token));
  }

  @Override
  public void probe(String server) {
    all.add(now + " probe " + server);
    if (loads == null) {
      probes.add(server);
    } else {
      later(2 * MS, () -> probed(server, Status.OK, loads.applyAsDouble(server), 0));
    }
  }

  @Override
  public void watchDiscovery(boolean on) {
    watches.add(on);
  }

  @Override
  public void fetchServers() {
    all.add(now + " fetch");
  }

  @Override
  public void sendToPeer(int peer, byte[] message) {
    all.add(now + " tell " + peer);
  }

  @Override
  public void log(String text) {
    all.add(now + " log " + text);
  }
}
