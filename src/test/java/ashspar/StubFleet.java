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
 * A simulated fleet of stub hosts, nodes and clients on one clock. A host works on its set-ups
 * concurrently, queries a store that all hosts share, spends a fraction of a core on each session,
 * and reports its load with a delay. A refused client retries after its retry delay, a client whose
 * session broke reconnects within half a second. A request without an answer by its deadline fails
 * the test. Times are microseconds.
 */
final class StubFleet {
  static final long MS = 1_000;
  static final long SECOND = 1_000_000;
  static final long DEADLINE_MICROS = 1800 * MS;
  private static final double SETUP_WORK = 20 * MS; // CPU time of a set-up
  private static final double SESSION_CORES = 0.02; // cores used by a session
  private static final long STORE_MICROS = 30 * MS; // time of a query of the shared store
  private static final long DISCOVERY_LAG_MICROS = 200 * MS;

  static final class Host {
    final String id;
    final String zone;
    double cores = 1;
    boolean up = true;
    boolean losesSetups;
    long startedAt;
    long drainsAt = Long.MAX_VALUE;
    final List<Setup> setups = new ArrayList<>();
    final List<ClientRequest> sessions = new ArrayList<>();
    private double recentWork;
    private List<Double> report = List.of(0.0, 0.0);

    Host(int i, String zone) {
      this.id = "s" + i;
      this.zone = zone;
    }

    double availableCores(long now) {
      boolean cold = startedAt > 0 && now - startedAt < 8 * SECOND;
      return cores * (cold ? 0.3 + 0.7 * (now - startedAt) / (8.0 * SECOND) : 1);
    }

    private void step(long now) {
      double sessionLoad = SESSION_CORES * sessions.size();
      double each =
          Math.min(
              1, Math.max(0.1, availableCores(now) - sessionLoad) / Math.max(1, setups.size()));
      double spent = 0;
      for (Setup setup : setups) {
        spent += setup.remainingWork > 0 ? each : 0;
        setup.remainingWork -= each * MS;
      }
      recentWork += 0.002 * (spent - recentWork);
      if (now % (500 * MS) == 0) {
        double left = setups.stream().mapToDouble(j -> Math.max(0, j.remainingWork)).sum();
        report =
            List.of(
                (sessionLoad + recentWork) / availableCores(now),
                left / availableCores(now) / SECOND);
      }
    }
  }

  private static final class Setup {
    final ClientRequest request;
    final int attempt;
    double remainingWork = SETUP_WORK;
    long storedAt;

    Setup(ClientRequest request) {
      this.request = request;
      this.attempt = request.attempt;
    }
  }

  /** A request of a client. Each retry is a request of its own. */
  static final class ClientRequest {
    long id;
    String tenant;
    boolean retry;
    Node node;
    long startedAt;
    long sessionMicros;
    int attempt = -1;
    long sentAt;
    Host host;
    boolean attemptPending;

    /** The time of the answer, 0 if there is none yet. */
    long answeredAt;

    boolean served;

    long answerMicros() {
      return answeredAt == 0 ? Long.MAX_VALUE : answeredAt - startedAt;
    }
  }

  record Attempt(long at, String host, Node node, long[] elapsed) {}

  private record ScheduledTask(long at, long order, Runnable task) {}

  /** A node: a policy and the execution of its actions. */
  final class Node implements Balancer.Actions {
    final Policy policy;
    private final Map<Long, ClientRequest> requests = new HashMap<>();

    Node(Balancer.Settings settings, long seed) {
      policy = new Policy(now, settings, seed, this);
    }

    @Override
    public void send(long id, String server, long abandonAt) {
      ClientRequest request = requests.get(id);
      Host host = hosts.get(server);
      request.attempt++;
      request.sentAt = now;
      request.host = host;
      request.attemptPending = true;
      Attempt s = new Attempt(now, server, this, new long[] {Long.MAX_VALUE});
      attempts.add(s);
      lastAttempts.put(request, s);
      int attempt = request.attempt;
      if (!host.up) {
        schedule(2 * MS, () -> endAttempt(request, attempt, Status.CONNECT_FAILED));
        return;
      }
      if (!host.losesSetups) {
        schedule(MS, () -> host.setups.add(new Setup(request)));
      }
      schedule(Math.max(1, abandonAt - now), () -> endAttempt(request, attempt, Status.TIMEOUT));
    }

    private void endAttempt(ClientRequest request, int attempt, Status status) {
      if (request.attemptPending && request.attempt == attempt) {
        request.attemptPending = false;
        lastAttempts.get(request).elapsed()[0] = now - request.sentAt;
        policy.attemptEnded(now, outcome(request, status, request.answeredAt > 0));
      }
    }

    private Outcome outcome(ClientRequest request, Status status, boolean closed) {
      return new Outcome(
          request.id,
          request.attempt,
          request.host.id,
          status,
          now - request.sentAt,
          closed,
          List.of());
    }

    private void accept(Setup setup) {
      ClientRequest request = setup.request;
      if (!request.attemptPending || request.attempt != setup.attempt) {
        return;
      }
      request.attemptPending = false;
      lastAttempts.get(request).elapsed()[0] = now - request.sentAt;
      request.answeredAt = now;
      request.served = true;
      request.host.sessions.add(request);
      policy.connectionAccepted(
          now, request.id, request.attempt, request.host.id, now - request.sentAt);
      policy.connectionMeasured(
          now,
          request.id,
          request.attempt,
          request.host.id,
          MeasurementKind.LOAD,
          SESSION_CORES * SECOND);
      schedule(request.sessionMicros, () -> close(request, Status.OK));
    }

    private void close(ClientRequest request, Status status) {
      if (request.host.sessions.remove(request)) {
        policy.attemptEnded(now, outcome(request, status, true));
        if (status != Status.OK) {
          schedule(
              random.nextLong(100, 500) * MS,
              () -> startRequest(request.tenant, request.sessionMicros, false, true));
        }
      }
    }

    @Override
    public void refuse(long id, long retryAfter) {
      ClientRequest request = requests.get(id);
      request.answeredAt = now;
      long back = Math.max(retryAfter, random.nextLong(200, 400) * MS);
      schedule(back, () -> startRequest(request.tenant, request.sessionMicros, true, false));
    }

    @Override
    public void fail(long id) {
      throw new AssertionError("a request that may be repeated must not be failed");
    }

    @Override
    public void cancel(long id, int attempt) {}

    @Override
    public void move(long id) {
      ClientRequest request = requests.get(id);
      movedConnections++;
      schedule(MS, () -> close(request, Status.CANCELLED));
    }

    @Override
    public void startTimer(long delay, long token) {
      schedule(delay, () -> policy.timerExpired(now, token));
    }

    @Override
    public void probe(String server) {
      Host host = hosts.get(server);
      Status status = host.up ? Status.OK : Status.CONNECT_FAILED;
      List<Double> report = host.up ? host.report : List.of();
      schedule(3 * MS, () -> policy.probeCompleted(now, server, status, 3 * MS, report));
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
  final List<ClientRequest> requests = new ArrayList<>();
  final List<Attempt> attempts = new ArrayList<>();
  private final Map<ClientRequest, Attempt> lastAttempts = new HashMap<>();
  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  final SplittableRandom random = new SplittableRandom(11);
  private long order;
  private long ids = 1;
  private double arriving;
  double storeSlowdown = 1;
  int movedConnections;
  long now = 10 * SECOND;

  /** Creates hosts s0 to s(n-1), the first {@code near} of them in the nodes' zone. */
  StubFleet(PolicyDriver.Setup setup, int near, int far) {
    for (int i = 0; i < near + far; i++) {
      add(new Host(i, i < near ? "z1" : "z2"));
    }
    for (int i = 0; i < setup.nodes; i++) {
      setup.rank = i;
      nodes.add(new Node(setup.settings(), 31 + i));
    }
    reportServers(ListKind.CACHED, List.copyOf(hosts.values()));
  }

  Host host(int i) {
    return hosts.get("s" + i);
  }

  private void add(Host host) {
    hosts.put(host.id, host);
  }

  private void reportServers(ListKind kind, List<Host> some) {
    List<ServerEntry> entries = new ArrayList<>();
    for (Host h : some) {
      State state = now >= h.drainsAt ? State.DRAINING : State.READY;
      entries.add(new ServerEntry(h.id, h.zone, "k", 0, state, h.cores, h.startedAt));
    }
    nodes.forEach(n -> n.policy.updateServers(now, kind, entries));
  }

  /** Starts a host; discovery reports it with a delay. */
  Host join(int i) {
    Host host = new Host(i, "z1");
    host.startedAt = now;
    add(host);
    schedule(DISCOVERY_LAG_MICROS, () -> reportServers(ListKind.DELTA, List.of(host)));
    return host;
  }

  /**
   * Drains a host: discovery reports it with a delay, and its sessions are closed one after the
   * other.
   */
  void drain(Host host) {
    host.drainsAt = now;
    schedule(DISCOVERY_LAG_MICROS, () -> reportServers(ListKind.DELTA, List.of(host)));
    long gap = 0;
    for (ClientRequest request : List.copyOf(host.sessions)) {
      gap += 20 * MS;
      schedule(gap, () -> request.node.close(request, Status.RESET));
    }
  }

  /** Crashes a host with all its sessions and attempts; discovery does not report it. */
  void crash(Host host) {
    host.up = false;
    host.setups.clear();
    for (ClientRequest request : requests) {
      if (request.host == host && request.attemptPending) {
        request.node.endAttempt(request, request.attempt, Status.RESET);
      }
    }
    List.copyOf(host.sessions).forEach(request -> request.node.close(request, Status.RESET));
  }

  private void schedule(long delay, Runnable task) {
    tasks.add(new ScheduledTask(now + delay, order++, task));
  }

  /** Sends a request of a client to a random node, for a session of the given length. */
  void startRequest(String tenant, long sessionMicros, boolean retry, boolean reconnecting) {
    ClientRequest request = new ClientRequest();
    request.id = ids++;
    request.tenant = tenant;
    request.retry = retry;
    request.startedAt = now;
    request.sessionMicros = sessionMicros;
    request.node = nodes.get(random.nextInt(nodes.size()));
    request.node.requests.put(request.id, request);
    requests.add(request);
    String key = reconnecting ? "k" + request.id : null;
    request.node.policy.requestReceived(
        now,
        new Request(
            request.id, key, "view", tenant, DEADLINE_MICROS, 0, retry, false, reconnecting));
    schedule(DEADLINE_MICROS + 20 * MS, () -> checkAnswered(request));
  }

  private void checkAnswered(ClientRequest request) {
    if (request.answeredAt == 0) {
      throw new AssertionError("no answer by the deadline: " + request.id);
    }
  }

  /** Advances the clock while new clients arrive for sessions of the given length. */
  void run(long time, double perSecond, long sessionMicros) {
    for (long until = now + time; now < until; ) {
      long step = now + MS;
      while (!tasks.isEmpty() && tasks.peek().at() <= step) {
        ScheduledTask due = tasks.poll();
        now = Math.max(now, due.at());
        due.task().run();
      }
      now = step;
      for (arriving += perSecond / 1000; arriving >= 1; arriving--) {
        startRequest("t" + random.nextInt(4), sessionMicros, false, false);
      }
      hosts.values().forEach(this::step);
    }
  }

  private void step(Host host) {
    host.step(now);
    for (Setup setup : List.copyOf(host.setups)) {
      if (setup.remainingWork <= 0 && setup.storedAt == 0) {
        setup.storedAt = now + (long) (STORE_MICROS * storeSlowdown);
      }
      if (setup.storedAt > 0 && now >= setup.storedAt) {
        host.setups.remove(setup);
        setup.request.node.accept(setup);
      }
    }
  }

  /**
   * Returns the maximum number of attempts per request over any ten seconds. Requests that were
   * already waiting at the start of the period are included.
   */
  double attemptsPerRequest() {
    double max = 0;
    for (Attempt first : attempts) {
      long from = first.at();
      double tries = attempts.stream().filter(s -> within(s.at(), from)).count();
      double started =
          requests.stream()
              .filter(
                  request ->
                      within(request.startedAt, from)
                          || (request.startedAt < from && request.answeredAt >= from))
              .count();
      max = Math.max(max, tries / started);
    }
    return max;
  }

  private static boolean within(long at, long from) {
    return at >= from && at < from + 10 * SECOND;
  }

  /**
   * Returns the share of the first requests in a period that were served within the given time
   * without a retry.
   */
  double servedShare(long from, long to, long within, Predicate<ClientRequest> which) {
    List<ClientRequest> started =
        requests.stream()
            .filter(
                request ->
                    !request.retry
                        && request.startedAt >= from
                        && request.startedAt < to
                        && which.test(request))
            .toList();
    return started.stream()
            .filter(request -> request.served && request.answerMicros() <= within)
            .count()
        / (double) started.size();
  }
}
