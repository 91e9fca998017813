package ashspar;

import brassbank.config.Config;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;

/**
 * One node and a toy fleet without sockets, for benchmarks: probes are answered at once with the
 * load given, timers rung when they fall due; what is sent is the benchmark's to answer.
 */
final class BenchFleet implements Balancer.Actions {
  static final long SECOND = 1_000_000;
  static final long LONG = 1_000 * SECOND * SECOND;

  /** The classes of the example's settings: the worthier one, and the other. */
  static final String WORTHY = "presentation";

  static final String OTHER = "preview";

  /** A load at which servers have room for the worthier class, but not for the other. */
  static final double HALF_FULL = 0.7;

  /** A load at which the places of set-ups are all that limits. */
  static final double IDLE = 0.01;

  private static final int GROUPS = 50;

  private record Timer(long due, long token) {}

  /** An attempt that is out, or a connection that stands. */
  record Sent(long id, String server) {}

  /** What has been sent since this was last emptied. */
  final Queue<Sent> sent = new ArrayDeque<>();

  final Policy policy;
  private final boolean groups;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>((a, b) -> Long.compare(a.due(), b.due()));
  private final Queue<String> probes = new ArrayDeque<>();
  private final int targets;
  private final long step;
  private final List<Double> report;
  private long now = 10 * SECOND;
  private long id;
  private int turn;

  /** A fleet of so many targets that report this load, ten seconds after the node's start. */
  BenchFleet(int targets, boolean groups, double load) throws Exception {
    Balancer.Settings settings = Config.read(Map.of("LB_CONFIG", "example/config.json")).settings();
    this.targets = targets;
    this.groups = groups;
    report = List.of(load, 0.0, 1.0, 0.0);
    step = SECOND / targets;
    policy = new Policy(now, settings, 7, this);
    List<Balancer.ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < targets; i++) {
      String zone = settings.zones().get(i % settings.zones().size());
      entries.add(
          new Balancer.ServerEntry("s-" + i, zone, "fast-box", 0, Balancer.State.READY, 1, 0));
    }
    policy.updateServers(now, Balancer.ListKind.FULL, entries);
    for (int i = 0; i < 10 * targets; i++) {
      pass();
    }
  }

  /** So much time passes that each target reports once a second; what falls due is rung. */
  void pass() {
    now += step;
    turn = (turn + 1) % targets;
    answer("s-" + turn);
    while (!timers.isEmpty() && timers.peek().due() <= now) {
      policy.timerExpired(now, timers.poll().token());
      answerProbes();
    }
  }

  /** A flow comes, and the probes that it waits for are answered. */
  long ask(String type, long left) {
    id++;
    String practice = id % 2 == 0 ? "kelvin-stone" : "forthbank";
    String group = groups ? "model-" + id % GROUPS : null;
    policy.requestReceived(
        now, new Balancer.Request(id, "key", group, type, practice, left, 0, false, false, false));
    answerProbes();
    return id;
  }

  /** The flow leaves without an answer. */
  void leave(long flow) {
    policy.requestWithdrawn(now, flow);
  }

  /** The target serves. */
  void accept(Sent attempt) {
    policy.connectionAccepted(now, attempt.id(), 0, attempt.server(), 1_000);
  }

  /** The connection has ended. */
  void end(Sent connection) {
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
  public void send(long flow, String server, long abandonAt) {
    sent.add(new Sent(flow, server));
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
  public void refuse(long flow, long retryAfter) {}

  @Override
  public void fail(long flow) {}

  @Override
  public void cancel(long flow, int attempt) {}

  @Override
  public void move(long flow) {}

  @Override
  public void watchDiscovery(boolean on) {}

  @Override
  public void fetchServers() {}

  @Override
  public void sendToPeer(int peer, byte[] message) {}

  @Override
  public void log(String text) {}
}
