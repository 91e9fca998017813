package ashspar;

import ashspar.Balancer.Effect;
import ashspar.Balancer.Group;
import ashspar.Balancer.ListKind;
import ashspar.Balancer.Metric;
import ashspar.Balancer.Outcome;
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

/** Drives a policy by hand: keeps the clock and the timers and writes down every action. */
final class Script implements Balancer.Actions {
  static final long MS = 1_000;
  static final long SECOND = 1_000_000;

  /** Starts a module; tests put a faulty one in the policy's place to see a check fail. */
  interface Factory {
    Balancer create(long now, Settings settings, long seed, Balancer.Actions actions);
  }

  record Sent(long at, long id, String server, long abandonAt) {}

  private record Timer(long at, long order, long token) {}

  final List<Sent> sends = new ArrayList<>();
  final List<Long> refused = new ArrayList<>();
  final List<Long> retryAfter = new ArrayList<>();
  final List<Long> failed = new ArrayList<>();
  final List<Long> moved = new ArrayList<>();
  final List<String> probes = new ArrayList<>();
  final List<Boolean> watches = new ArrayList<>();
  final List<String> all = new ArrayList<>();
  final Map<Long, Integer> attempts = new HashMap<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private long order;
  long now = 10 * SECOND;
  final Balancer balancer;

  Script(Settings settings) {
    this(Policy::new, settings, 7);
  }

  Script(Factory factory, Settings settings, long seed) {
    balancer = factory.create(now, settings, seed, this);
  }

  /** Settings a test starts from. */
  static final class Setup {
    int rank = 0;
    int nodes = 1;
    Effect effect = Effect.FREE;
    Group group = Group.ALL;
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

    Settings settings() {
      return new Settings(
          rank,
          nodes,
          "z1",
          List.of("z1", "z2"),
          List.of(
              new RequestClass(
                  "view", 300 * MS, 1800 * MS, 1, effect, group, 5 * SECOND, 100 * MS)),
          tenants,
          new Balancer.Limits(
              probes, peers, true, false, maxRetryAfter > 0, maxAttempts, maxRetryAfter),
          new Balancer.Rules(8 * MS, 10 * SECOND, 500 * MS, coldShare, 8 * SECOND, 3, 1500 * MS),
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
    balancer.servers(now, ListKind.CACHED, servers(count));
  }

  /** Lets time pass, with the timers that fall due in it. */
  void pass(long time) {
    long until = now + time;
    while (!timers.isEmpty() && timers.peek().at() <= until) {
      Timer timer = timers.poll();
      now = Math.max(now, timer.at());
      balancer.timer(now, timer.token());
    }
    now = until;
  }

  void request(long id) {
    request(id, 1800 * MS, 0);
  }

  void request(long id, long left, double hint) {
    balancer.request(now, new Request(id, "k" + id, "view", null, left, hint, false, false, false));
  }

  void probed(String server, Status status, double load, double backlog) {
    balancer.probed(
        now, server, status, 2 * MS, status == Status.OK ? List.of(load, backlog) : List.of());
  }

  void outcome(long id, Status status, boolean closed) {
    int attempt = attempts.get(id) - 1;
    balancer.outcome(
        now, new Outcome(id, attempt, last(id).server(), status, 5 * MS, closed, List.of()));
  }

  void accepted(long id) {
    balancer.accepted(now, id, attempts.get(id) - 1, last(id).server(), 5 * MS);
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
  public void timer(long delay, long token) {
    if (delay < 1) {
      throw new AssertionError("a timer must lie ahead, not at " + delay);
    }
    timers.add(new Timer(now + delay, order++, token));
  }

  @Override
  public void probe(String server) {
    probes.add(server);
    all.add(now + " probe " + server);
  }

  @Override
  public void watch(boolean on) {
    watches.add(on);
  }

  @Override
  public void fetch() {
    all.add(now + " fetch");
  }

  @Override
  public void tell(int peer, byte[] message) {
    all.add(now + " tell " + peer);
  }

  @Override
  public void log(String text) {
    all.add(now + " log " + text);
  }
}
