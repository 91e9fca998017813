package ashspar;

import ashspar.Balancer.ListKind;
import ashspar.Balancer.MeasurementKind;
import ashspar.Balancer.Outcome;
import ashspar.Balancer.Request;
import ashspar.Balancer.ServerEntry;
import ashspar.Balancer.State;
import ashspar.Balancer.Status;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * A few hosts, nodes and clients on one clock, for the hard cases. A host works at its set-ups all
 * at once and the slower the more there are, asks the store that all share, holds sessions that
 * cost it a part of a core, and tells of its load late. A client that was refused comes again when
 * it was told to, one whose session broke within half a second; one that got no answer in time is
 * lost. Times are microseconds.
 */
final class StubFleet {
  static final long MS = 1_000;
  static final long SECOND = 1_000_000;
  static final long DEADLINE = 1800 * MS;
  private static final double WORK = 20 * MS; // of one core, a set-up
  private static final double SESSION = 0.02; // of one core
  private static final long STORE = 30 * MS; // the store's time for a set-up
  private static final long LIST_LAG = 200 * MS;

  static final class Host {
    final String id;
    final String zone;
    double cores = 1;
    boolean up = true;
    boolean loses;
    long since;
    long drainsAt = Long.MAX_VALUE;
    final List<Job> jobs = new ArrayList<>();
    final List<Flow> sessions = new ArrayList<>();
    private double used;
    private List<Double> report = List.of(0.0, 0.0);

    Host(int i, String zone) {
      this.id = "s" + i;
      this.zone = zone;
    }

    double power(long now) {
      boolean cold = since > 0 && now - since < 8 * SECOND;
      return cores * (cold ? 0.3 + 0.7 * (now - since) / (8.0 * SECOND) : 1);
    }

    private void step(long now) {
      double sessionLoad = SESSION * sessions.size();
      double each = Math.min(1, Math.max(0.1, power(now) - sessionLoad) / Math.max(1, jobs.size()));
      double spent = 0;
      for (Job job : jobs) {
        spent += job.left > 0 ? each : 0;
        job.left -= each * MS;
      }
      used += 0.002 * (spent - used);
      if (now % (500 * MS) == 0) {
        double left = jobs.stream().mapToDouble(j -> Math.max(0, j.left)).sum();
        report = List.of((sessionLoad + used) / power(now), left / power(now) / SECOND);
      }
    }
  }

  private static final class Job {
    final Flow flow;
    final int attempt;
    double left = WORK;
    long storedAt;

    Job(Flow flow) {
      this.flow = flow;
      this.attempt = flow.attempt;
    }
  }

  /** One request of a client; what it sent afterwards is another one. */
  static final class Flow {
    long id;
    String tenant;
    boolean repeat;
    Node node;
    long askedAt;
    long life;
    int attempt = -1;
    long sentAt;
    Host at;
    boolean out;

    /** When it was answered, and whether with a connection; 0 while it is owed an answer. */
    long answeredAt;

    boolean served;

    long took() {
      return answeredAt == 0 ? Long.MAX_VALUE : answeredAt - askedAt;
    }
  }

  record Sent(long at, String host, Node node, long[] took) {}

  private record Due(long at, long order, Runnable what) {}

  /** One node: a policy, and what carries out its actions. */
  final class Node implements Balancer.Actions {
    final Policy policy;
    private final Map<Long, Flow> flows = new HashMap<>();

    Node(Balancer.Settings settings, long seed) {
      policy = new Policy(now, settings, seed, this);
    }

    @Override
    public void send(long id, String server, long abandonAt) {
      Flow f = flows.get(id);
      Host host = hosts.get(server);
      f.attempt++;
      f.sentAt = now;
      f.at = host;
      f.out = true;
      Sent s = new Sent(now, server, this, new long[] {Long.MAX_VALUE});
      sent.add(s);
      sentOf.put(f, s);
      int attempt = f.attempt;
      if (!host.up) {
        later(2 * MS, () -> ended(f, attempt, Status.CONNECT_FAILED));
        return;
      }
      if (!host.loses) {
        later(MS, () -> host.jobs.add(new Job(f)));
      }
      later(Math.max(1, abandonAt - now), () -> ended(f, attempt, Status.TIMEOUT));
    }

    private void ended(Flow f, int attempt, Status status) {
      if (f.out && f.attempt == attempt) {
        f.out = false;
        sentOf.get(f).took()[0] = now - f.sentAt;
        policy.attemptEnded(now, outcome(f, status, f.answeredAt > 0));
      }
    }

    private Outcome outcome(Flow f, Status status, boolean closed) {
      return new Outcome(f.id, f.attempt, f.at.id, status, now - f.sentAt, closed, List.of());
    }

    private void accept(Job job) {
      Flow f = job.flow;
      if (!f.out || f.attempt != job.attempt) {
        return;
      }
      f.out = false;
      sentOf.get(f).took()[0] = now - f.sentAt;
      f.answeredAt = now;
      f.served = true;
      f.at.sessions.add(f);
      policy.connectionAccepted(now, f.id, f.attempt, f.at.id, now - f.sentAt);
      policy.connectionMeasured(
          now, f.id, f.attempt, f.at.id, MeasurementKind.LOAD, SESSION * SECOND);
      later(f.life, () -> close(f, Status.OK));
    }

    private void close(Flow f, Status status) {
      if (f.at.sessions.remove(f)) {
        policy.attemptEnded(now, outcome(f, status, true));
        if (status != Status.OK) {
          later(random.nextLong(100, 500) * MS, () -> ask(f.tenant, f.life, false, true));
        }
      }
    }

    @Override
    public void refuse(long id, long retryAfter) {
      Flow f = flows.get(id);
      f.answeredAt = now;
      long back = Math.max(retryAfter, random.nextLong(200, 400) * MS);
      later(back, () -> ask(f.tenant, f.life, true, false));
    }

    @Override
    public void fail(long id) {
      throw new AssertionError("what may be repeated is never failed");
    }

    @Override
    public void cancel(long id, int attempt) {}

    @Override
    public void move(long id) {
      Flow f = flows.get(id);
      moved++;
      later(MS, () -> close(f, Status.CANCELLED));
    }

    @Override
    public void startTimer(long delay, long token) {
      later(delay, () -> policy.timerExpired(now, token));
    }

    @Override
    public void probe(String server) {
      Host host = hosts.get(server);
      Status status = host.up ? Status.OK : Status.CONNECT_FAILED;
      List<Double> report = host.up ? host.report : List.of();
      later(3 * MS, () -> policy.probeCompleted(now, server, status, 3 * MS, report));
    }

    @Override
    public void watchDiscovery(boolean on) {}

    @Override
    public void fetchServers() {}

    @Override
    public void sendToPeer(int peer, byte[] message) {}

    @Override
    public void log(String text) {}
  }

  final Map<String, Host> hosts = new HashMap<>();
  final List<Node> nodes = new ArrayList<>();
  final List<Flow> flows = new ArrayList<>();
  final List<Sent> sent = new ArrayList<>();
  private final Map<Flow, Sent> sentOf = new HashMap<>();
  private final PriorityQueue<Due> agenda =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  final SplittableRandom random = new SplittableRandom(11);
  private long order;
  private long ids = 1;
  private double arriving;
  double storeSlowdown = 1;
  int moved;
  long now = 10 * SECOND;

  /** Hosts s0 to s(n-1), the first {@code near} of them in the nodes' zone. */
  StubFleet(PolicyDriver.Setup setup, int near, int far) {
    for (int i = 0; i < near + far; i++) {
      add(new Host(i, i < near ? "z1" : "z2"));
    }
    for (int i = 0; i < setup.nodes; i++) {
      setup.rank = i;
      nodes.add(new Node(setup.settings(), 31 + i));
    }
    tell(ListKind.CACHED, List.copyOf(hosts.values()));
  }

  Host host(int i) {
    return hosts.get("s" + i);
  }

  private void add(Host host) {
    hosts.put(host.id, host);
  }

  private void tell(ListKind kind, List<Host> some) {
    List<ServerEntry> entries = new ArrayList<>();
    for (Host h : some) {
      State state = now >= h.drainsAt ? State.DRAINING : State.READY;
      entries.add(new ServerEntry(h.id, h.zone, "k", 0, state, h.cores, h.since));
    }
    nodes.forEach(n -> n.policy.updateServers(now, kind, entries));
  }

  /** A host that has just started joins; the list tells of it late. */
  Host join(int i) {
    Host host = new Host(i, "z1");
    host.since = now;
    add(host);
    later(LIST_LAG, () -> tell(ListKind.DELTA, List.of(host)));
    return host;
  }

  /** A host drains: the list tells of it late, and its sessions go one after the other. */
  void drain(Host host) {
    host.drainsAt = now;
    later(LIST_LAG, () -> tell(ListKind.DELTA, List.of(host)));
    long gap = 0;
    for (Flow f : List.copyOf(host.sessions)) {
      gap += 20 * MS;
      later(gap, () -> f.node.close(f, Status.RESET));
    }
  }

  /** The host is gone with all that it held, and does not say so. */
  void down(Host host) {
    host.up = false;
    host.jobs.clear();
    for (Flow f : flows) {
      if (f.at == host && f.out) {
        f.node.ended(f, f.attempt, Status.RESET);
      }
    }
    List.copyOf(host.sessions).forEach(f -> f.node.close(f, Status.RESET));
  }

  private void later(long delay, Runnable what) {
    agenda.add(new Due(now + delay, order++, what));
  }

  /** A client asks at any node, for a session that stands so long. */
  void ask(String tenant, long life, boolean repeat, boolean returning) {
    Flow f = new Flow();
    f.id = ids++;
    f.tenant = tenant;
    f.repeat = repeat;
    f.askedAt = now;
    f.life = life;
    f.node = nodes.get(random.nextInt(nodes.size()));
    f.node.flows.put(f.id, f);
    flows.add(f);
    String key = returning ? "k" + f.id : null;
    f.node.policy.requestReceived(
        now, new Request(f.id, key, "view", tenant, DEADLINE, 0, repeat, false, returning));
    later(DEADLINE + 20 * MS, () -> check(f));
  }

  private void check(Flow f) {
    if (f.answeredAt == 0) {
      throw new AssertionError("no answer by the deadline: " + f.id);
    }
  }

  /** Lets time pass, while new clients come for sessions that stand so long. */
  void run(long time, double perSecond, long life) {
    for (long until = now + time; now < until; ) {
      long step = now + MS;
      while (!agenda.isEmpty() && agenda.peek().at() <= step) {
        Due due = agenda.poll();
        now = Math.max(now, due.at());
        due.what().run();
      }
      now = step;
      for (arriving += perSecond / 1000; arriving >= 1; arriving--) {
        ask("t" + random.nextInt(4), life, false, false);
      }
      hosts.values().forEach(this::step);
    }
  }

  private void step(Host host) {
    host.step(now);
    for (Job job : List.copyOf(host.jobs)) {
      if (job.left <= 0 && job.storedAt == 0) {
        job.storedAt = now + (long) (STORE * storeSlowdown);
      }
      if (job.storedAt > 0 && now >= job.storedAt) {
        host.jobs.remove(job);
        job.flow.node.accept(job);
      }
    }
  }

  /** The most attempts a request over any ten seconds, with what was still waiting before them. */
  double attemptsPerRequest() {
    double most = 0;
    for (Sent first : sent) {
      long from = first.at();
      double tries = sent.stream().filter(s -> within(s.at(), from)).count();
      double asked =
          flows.stream()
              .filter(f -> within(f.askedAt, from) || (f.askedAt < from && f.answeredAt >= from))
              .count();
      most = Math.max(most, tries / asked);
    }
    return most;
  }

  private static boolean within(long at, long from) {
    return at >= from && at < from + 10 * SECOND;
  }

  /** The share of the clients that first asked in a time that were served at once, in so long. */
  double served(long from, long to, long within, Predicate<Flow> which) {
    List<Flow> asked =
        flows.stream()
            .filter(f -> !f.repeat && f.askedAt >= from && f.askedAt < to && which.test(f))
            .toList();
    return asked.stream().filter(f -> f.served && f.took() <= within).count()
        / (double) asked.size();
  }
}
