package ashspar;

import ashspar.Balancer.DeduplicationScope;
import ashspar.Balancer.ListKind;
import ashspar.Balancer.MeasurementKind;
import ashspar.Balancer.Outcome;
import ashspar.Balancer.Repeatability;
import ashspar.Balancer.Request;
import ashspar.Balancer.RequestClass;
import ashspar.Balancer.ServerEntry;
import ashspar.Balancer.Settings;
import ashspar.Balancer.State;
import ashspar.Balancer.Status;
import ashspar.limits.LimitsSnapshot;
import ashspar.limits.SetupLimit;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * A random day for one module: makes events, plays outcomes, and checks the four rules on every
 * action. A broken rule is an {@link AssertionError} that names it.
 */
final class RandomizedRuleCheck implements Balancer.Actions {
  private static final long MS = 1_000;
  private static final int SERVERS = 12;

  private static final class Try {
    final ServerEntry server;
    final long sentAt;
    Status status;
    boolean out = true;

    Try(ServerEntry server, long sentAt) {
      this.server = server;
      this.sentAt = sentAt;
    }
  }

  private static final class Owed {
    Request request;
    long deadline;
    boolean answered;
    boolean open;
    final List<Try> tries = new ArrayList<>();
  }

  private record Due(long at, long order, Runnable what) {}

  private final Settings settings;
  private final RequestClass type;
  private final SplittableRandom random;
  private final PriorityQueue<Due> agenda =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private final Map<Long, Owed> owed = new HashMap<>();
  private final List<Owed> due = new ArrayList<>();
  private final Map<String, ServerEntry> listed = new HashMap<>();
  private final Map<String, Long> toldGone = new HashMap<>();
  private final Map<String, List<Long>> coldSends = new HashMap<>();
  private final Balancer balancer;
  private long order;
  private long now = 1_000_000;
  private long nextId = 1;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();
  int sends;
  int answers;

  RandomizedRuleCheck(PolicyDriver.Factory factory, Settings settings, long seed) {
    this.settings = settings;
    this.type = settings.classes().get(0);
    this.random = new SplittableRandom(seed);
    this.balancer = factory.create(now, settings, seed, this);
    List<ServerEntry> first = PolicyDriver.servers(SERVERS);
    first.forEach(e -> listed.put(e.id(), e));
    balancer.updateServers(now, ListKind.CACHED, first);
    for (int i = 0; i < 4; i++) {
      Owed o = new Owed();
      o.request = new Request(nextId++, "k", "g" + i, type.name(), "t1", 0, 0, false, false, true);
      ServerEntry server = i == 0 ? PolicyDriver.server(99, State.READY, 0) : first.get(i);
      Try t = new Try(server, now);
      o.tries.add(t);
      owed.put(o.request.id(), o);
      o.open = true;
      balancer.connectionResumed(now, o.request, server.id());
      later(random.nextLong(1, 9_000 * MS), () -> close(o, t, 0));
    }
  }

  /** Plays so many steps of a few milliseconds each, then lets everything held run out. */
  void play(int steps) {
    for (int i = 0; i < steps; i++) {
      step();
      run(now + random.nextLong(1, 20 * MS));
    }
    run(now + 10_000_000);
    owed.forEach(
        (id, o) -> check(o.answered || o.open, "rule 1: request " + id + " got no final answer"));
  }

  private void step() {
    int dice = random.nextInt(100);
    if (dice < 50) {
      Owed o = new Owed();
      long left = random.nextLong(1, type.deadlineMicros());
      int kind = random.nextInt(12);
      o.request =
          new Request(
              nextId++,
              kind < 6 ? null : "k" + kind,
              kind % 3 == 0 ? null : "g" + kind % 5,
              kind < 4 ? "list" : "view",
              kind == 0 ? null : "t" + kind % 4,
              left,
              random.nextInt(3) * 1000,
              random.nextInt(8) == 0,
              false,
              random.nextInt(4) == 0);
      requests.add(now);
      o.deadline = now + left;
      owed.put(o.request.id(), o);
      due.add(o);
      balancer.requestReceived(now, o.request);
    } else if (dice < 60) {
      change();
    } else if (dice < 62) {
      owed.values().stream()
          .filter(o -> !o.answered && !o.open)
          .findFirst()
          .ifPresent(
              o -> {
                o.answered = true;
                balancer.requestWithdrawn(now, o.request.id());
              });
    } else if (dice < 70) {
      owed.values().stream()
          .filter(o -> o.open)
          .findFirst()
          .ifPresent(
              o ->
                  balancer.connectionMeasured(
                      now,
                      o.request.id(),
                      o.tries.size() - 1,
                      last(o).server.id(),
                      MeasurementKind.DELAY,
                      random.nextInt(900)));
    }
  }

  private void change() {
    String id = "s" + random.nextInt(SERVERS);
    State state = State.values()[random.nextInt(3)];
    ServerEntry old = listed.get(id);
    int number = Integer.parseInt(id.substring(1));
    long since = state == State.READY && (old == null || old.state() != State.READY) ? now : 0;
    if (old != null && old.state() == state) {
      return;
    }
    ServerEntry entry = PolicyDriver.server(number, state, since);
    if (state == State.READY) {
      toldGone.remove(id);
      coldSends.put(id, new ArrayList<>());
    } else {
      toldGone.putIfAbsent(id, now);
    }
    listed.put(id, entry);
    balancer.updateServers(now, ListKind.DELTA, List.of(entry));
  }

  private void run(long until) {
    while (!agenda.isEmpty() && agenda.peek().at() <= until) {
      Due due = agenda.poll();
      now = Math.max(now, due.at());
      due.what().run();
      sweep();
    }
    now = until;
    sweep();
  }

  private void sweep() {
    due.removeIf(o -> o.answered || o.open);
    due.forEach(
        o ->
            check(
                now <= o.deadline + settings.safetyRules().answerSlackMicros(),
                "rule 1: request " + o.request.id() + " is overdue"));
  }

  private void later(long delay, Runnable what) {
    agenda.add(new Due(now + Math.max(1, delay), order++, what));
  }

  private static Try last(Owed o) {
    return o.tries.get(o.tries.size() - 1);
  }

  private static void check(boolean holds, String rule) {
    if (!holds) {
      throw new AssertionError(rule);
    }
  }

  @Override
  public void send(long id, String server, long abandonAt) {
    sends++;
    Owed o = owed.get(id);
    check(o != null && !o.answered && !o.open, "rule 1: sent after its end: " + id);
    check(o.tries.stream().noneMatch(t -> t.out), "rule 2: two attempts out at once: " + id);
    ServerEntry entry = listed.get(server);
    check(entry != null, "sent to a server no list has named: " + server);
    Long told = toldGone.get(server);
    check(
        told == null || now - told <= settings.safetyRules().drainGraceMicros(),
        "rule 3: sent to " + server + " past the grace");
    for (Try t : o.tries) {
      if (!t.status.neverRan && type.repeatability() != Repeatability.FREE) {
        check(
            type.repeatability() == Repeatability.GUARDED, "rule 2: single shot sent again: " + id);
        check(
            now - t.sentAt < type.deduplicationWindowMicros(),
            "rule 2: repeated past the window: " + id);
        check(
            type.deduplicationScope() == DeduplicationScope.ALL
                || (t.server.zone().equals(entry.zone())
                    && (type.deduplicationScope() == DeduplicationScope.ZONE
                        || t.server.cell() == entry.cell())),
            "rule 2: repeated outside the group: " + id);
      }
    }
    cold(entry);
    if (!o.tries.isEmpty()) {
      repeated();
    }
    if (balancer instanceof Policy policy) {
      places(policy, server);
    }
    Try t = new Try(entry, now);
    o.tries.add(t);
    long until = abandonAt > 0 ? Math.min(abandonAt, o.deadline) : o.deadline;
    int attempt = o.tries.size() - 1;
    int dice = random.nextInt(100);
    long took = random.nextLong(1, 120 * MS);
    if (now + took >= until) {
      later(until - now, () -> end(o, t, attempt, Status.TIMEOUT));
    } else if (dice < 75) {
      later(took, () -> open(o, t, attempt));
    } else {
      Status[] bad = {
        Status.FULL, Status.RESET, Status.CONNECT_FAILED, Status.CANCELLED, Status.ERROR
      };
      later(took, () -> end(o, t, attempt, bad[dice % bad.length]));
    }
  }

  private void repeated() {
    repeats.add(now);
    requests.removeIf(at -> at <= now - 10_000 * MS);
    repeats.removeIf(at -> at <= now - 10_000 * MS);
    check(repeats.size() <= Math.max(3, 0.25 * requests.size()), "too many repeats");
  }

  /** Never more is out than the limits allow, at the server nor in the fleet. */
  private void places(Policy policy, String server) {
    SetupLimit setups = policy.node.servers.get(server).limits.setups;
    check(setups.slotsTaken(now) <= setups.allowed(), "set-ups beyond the limit of " + server);
    LimitsSnapshot fleet = policy.limits();
    check(fleet.setupsInProgress() <= fleet.setupsAllowed(), "set-ups beyond the limit: " + fleet);
  }

  /** Once all is over nothing is held: each place, and each group, has been given back. */
  void checkAllGivenBack() {
    run(now + 20_000 * MS);
    Node node = ((Policy) balancer).node;
    LimitsSnapshot over = balancer.limits();
    check(node.requests.isEmpty() && node.openConnections == 0, "held: " + node.requests.size());
    check(over.setupsInProgress() == 0 && over.waiting() == 0, "not given back: " + over);
    long resting =
        node.readyServers.stream().filter(s -> s.limits.outlierRecord.isEjected()).count();
    check(
        over.ejectedServers() == resting,
        "at rest " + over.ejectedServers() + ", of the ready " + resting);
    for (Server s : node.servers.values()) {
      check(s.limits.setups.slotsTaken(now) == 0, "places still taken at " + s.id);
      check(s.limits.groups.size() == 0 && s.connections.isEmpty(), "groups still held at " + s.id);
      s.limits.recordReport(now, random.nextDouble(), 0);
      check(
          Math.abs(s.limits.unreportedLoad()) < 1e-9,
          "added at " + s.id + ": " + s.limits.unreportedLoad());
    }
  }

  /** Rule 4, as a node's own share: here it is alone, so the whole budget, counted in means. */
  private void cold(ServerEntry entry) {
    long age = now - entry.startedAtMicros();
    if (entry.startedAtMicros() == 0 || age >= settings.safetyRules().warmUpMicros()) {
      return;
    }
    List<Long> sent = coldSends.get(entry.id());
    sent.add(now);
    long window = settings.safetyRules().overloadWindowMicros();
    long recent = sent.stream().filter(at -> now - at < window).count();
    // 50 requests in 100 steps of 10 ms: fifty a second over a dozen servers, at most.
    double capacity = 50.0 / 6 / 0.6;
    double budget =
        settings.safetyRules().overloadMultiple()
            * (settings.safetyRules().coldCapacity()
                + (1 - settings.safetyRules().coldCapacity())
                    * age
                    / settings.safetyRules().warmUpMicros())
            * capacity
            * window
            / 1e6;
    check(recent <= budget + 3, "rule 4: " + recent + " sends to a cold server in a window");
  }

  private void open(Owed o, Try t, int attempt) {
    o.open = true;
    balancer.connectionAccepted(now, o.request.id(), attempt, t.server.id(), now - t.sentAt);
    later(random.nextLong(1, 3_000 * MS), () -> close(o, t, attempt));
  }

  private void close(Owed o, Try t, int attempt) {
    if (t.out) {
      t.out = false;
      t.status = List.of(Status.OK, Status.RESET, Status.CANCELLED).get(random.nextInt(3));
      o.answered = true;
      o.open = false;
      balancer.attemptEnded(now, ended(o, t, attempt, true));
    }
  }

  private void end(Owed o, Try t, int attempt, Status status) {
    t.out = false;
    t.status = status;
    balancer.attemptEnded(now, ended(o, t, attempt, o.answered));
  }

  private Outcome ended(Owed o, Try t, int attempt, boolean closed) {
    return new Outcome(
        o.request.id(), attempt, t.server.id(), t.status, now - t.sentAt, closed, List.of());
  }

  private void answered(long id, boolean refusal) {
    answers++;
    Owed o = owed.get(id);
    check(o != null && !o.answered, "rule 1: a second answer: " + id);
    check(
        now <= o.deadline + settings.safetyRules().answerSlackMicros(),
        "rule 1: answered too late: " + id);
    if (refusal && type.repeatability() != Repeatability.FREE) {
      boolean may = o.tries.stream().anyMatch(t -> t.out || !t.status.neverRan);
      check(
          !may
              || (type.repeatability() == Repeatability.GUARDED
                  && type.deduplicationScope() == DeduplicationScope.ALL),
          "rule 2: refused though it may have run: " + id);
    }
    o.answered = true;
  }

  @Override
  public void refuse(long id, long retryAfter) {
    answered(id, true);
  }

  @Override
  public void fail(long id) {
    answered(id, false);
  }

  @Override
  public void cancel(long id, int attempt) {
    check(owed.containsKey(id) && attempt < owed.get(id).tries.size(), "cancelled what is not");
  }

  @Override
  public void move(long id) {
    Owed o = owed.get(id);
    check(o != null && o.open && !o.answered, "moved what is not open: " + id);
    o.answered = true;
    o.open = false;
    Try t = last(o);
    t.out = false;
    t.status = Status.CANCELLED;
    int attempt = o.tries.size() - 1;
    later(MS, () -> balancer.attemptEnded(now, ended(o, t, attempt, true)));
  }

  @Override
  public void startTimer(long delay, long token) {
    check(delay >= 1, "a timer in the past");
    later(delay, () -> balancer.timerExpired(now, token));
  }

  @Override
  public void probe(String server) {
    int dice = random.nextInt(10);
    Status status = dice < 8 ? Status.OK : dice < 9 ? Status.TIMEOUT : Status.FULL;
    List<Double> report =
        status == Status.OK
            ? List.of(random.nextDouble() * 0.8, random.nextDouble())
            : List.<Double>of();
    later(
        random.nextLong(1, 200 * MS),
        () -> balancer.probeCompleted(now, server, status, 2 * MS, report));
  }

  @Override
  public void watchDiscovery(boolean on) {}

  @Override
  public void fetchServers() {}

  @Override
  public void sendToPeer(int peer, byte[] message) {
    check(message.length <= 256, "a message over 256 bytes");
  }

  @Override
  public void log(String text) {}
}
