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
 * Runs a balancer in a random scenario and checks the four rules on every action. It generates
 * events and the outcomes of attempts. A violated rule causes an {@link AssertionError} that names
 * it.
 */
final class RandomizedRuleCheck implements Balancer.Actions {
  private static final long MS = 1_000;
  private static final int SERVERS = 12;

  private static final class Attempt {
    final ServerEntry server;
    final long sentAt;
    Status status;
    boolean pending = true;

    Attempt(ServerEntry server, long sentAt) {
      this.server = server;
      this.sentAt = sentAt;
    }
  }

  private static final class RequestState {
    Request request;
    long deadline;
    boolean answered;
    boolean open;
    final List<Attempt> attempts = new ArrayList<>();
  }

  private record ScheduledTask(long at, long order, Runnable what) {}

  private final Settings settings;
  private final RequestClass type;
  private final SplittableRandom random;
  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private final Map<Long, RequestState> requests = new HashMap<>();
  private final List<RequestState> unanswered = new ArrayList<>();
  private final Map<String, ServerEntry> listed = new HashMap<>();
  private final Map<String, Long> notReadySince = new HashMap<>();
  private final Map<String, List<Long>> coldSends = new HashMap<>();
  private final Balancer balancer;
  private long order;
  private long now = 1_000_000;
  private long nextId = 1;
  private final Deque<Long> recentRequests = new ArrayDeque<>();
  private final Deque<Long> recentRepeats = new ArrayDeque<>();
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
      RequestState state = new RequestState();
      state.request =
          new Request(nextId++, "k", "g" + i, type.name(), "t1", 0, 0, false, false, true);
      ServerEntry server = i == 0 ? PolicyDriver.server(99, State.READY, 0) : first.get(i);
      Attempt t = new Attempt(server, now);
      state.attempts.add(t);
      requests.put(state.request.id(), state);
      state.open = true;
      balancer.connectionResumed(now, state.request, server.id());
      schedule(random.nextLong(1, 9_000 * MS), () -> close(state, t, 0));
    }
  }

  /** Plays {@code steps} steps of a few milliseconds each, then lets all open requests end. */
  void play(int steps) {
    for (int i = 0; i < steps; i++) {
      step();
      run(now + random.nextLong(1, 20 * MS));
    }
    run(now + 10_000_000);
    requests.forEach(
        (id, state) ->
            check(state.answered || state.open, "rule 1: request " + id + " got no final answer"));
  }

  private void step() {
    int dice = random.nextInt(100);
    if (dice < 50) {
      RequestState state = new RequestState();
      long left = random.nextLong(1, type.deadlineMicros());
      int kind = random.nextInt(12);
      state.request =
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
      recentRequests.add(now);
      state.deadline = now + left;
      requests.put(state.request.id(), state);
      unanswered.add(state);
      balancer.requestReceived(now, state.request);
    } else if (dice < 60) {
      changeServer();
    } else if (dice < 62) {
      requests.values().stream()
          .filter(state -> !state.answered && !state.open)
          .findFirst()
          .ifPresent(
              state -> {
                state.answered = true;
                balancer.requestWithdrawn(now, state.request.id());
              });
    } else if (dice < 70) {
      requests.values().stream()
          .filter(state -> state.open)
          .findFirst()
          .ifPresent(
              state ->
                  balancer.connectionMeasured(
                      now,
                      state.request.id(),
                      state.attempts.size() - 1,
                      last(state).server.id(),
                      MeasurementKind.DELAY,
                      random.nextInt(900)));
    }
  }

  private void changeServer() {
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
      notReadySince.remove(id);
      coldSends.put(id, new ArrayList<>());
    } else {
      notReadySince.putIfAbsent(id, now);
    }
    listed.put(id, entry);
    balancer.updateServers(now, ListKind.DELTA, List.of(entry));
  }

  private void run(long until) {
    while (!tasks.isEmpty() && tasks.peek().at() <= until) {
      ScheduledTask due = tasks.poll();
      now = Math.max(now, due.at());
      due.what().run();
      checkDeadlines();
    }
    now = until;
    checkDeadlines();
  }

  private void checkDeadlines() {
    unanswered.removeIf(state -> state.answered || state.open);
    unanswered.forEach(
        state ->
            check(
                now <= state.deadline + settings.safetyRules().answerSlackMicros(),
                "rule 1: request " + state.request.id() + " is overdue"));
  }

  private void schedule(long delay, Runnable what) {
    tasks.add(new ScheduledTask(now + Math.max(1, delay), order++, what));
  }

  private static Attempt last(RequestState state) {
    return state.attempts.get(state.attempts.size() - 1);
  }

  private static void check(boolean holds, String rule) {
    if (!holds) {
      throw new AssertionError(rule);
    }
  }

  @Override
  public void send(long id, String server, long abandonAt) {
    sends++;
    RequestState state = requests.get(id);
    check(
        state != null && !state.answered && !state.open,
        "rule 1: sent after its final answer: " + id);
    check(
        state.attempts.stream().noneMatch(t -> t.pending),
        "rule 2: two attempts in progress at once: " + id);
    ServerEntry entry = listed.get(server);
    check(entry != null, "sent to a server that is not listed: " + server);
    Long notReadyAt = notReadySince.get(server);
    check(
        notReadyAt == null || now - notReadyAt <= settings.safetyRules().drainGraceMicros(),
        "rule 3: sent to " + server + " after the drain grace");
    for (Attempt t : state.attempts) {
      if (!t.status.neverRan && type.repeatability() != Repeatability.FREE) {
        check(
            type.repeatability() == Repeatability.GUARDED,
            "rule 2: single-shot request sent again: " + id);
        check(
            now - t.sentAt < type.deduplicationWindowMicros(),
            "rule 2: repeated after the deduplication window: " + id);
        check(
            type.deduplicationScope() == DeduplicationScope.ALL
                || (t.server.zone().equals(entry.zone())
                    && (type.deduplicationScope() == DeduplicationScope.ZONE
                        || t.server.cell() == entry.cell())),
            "rule 2: repeated outside the deduplication scope: " + id);
      }
    }
    checkColdServer(entry);
    if (!state.attempts.isEmpty()) {
      checkRepeats();
    }
    if (balancer instanceof Policy policy) {
      checkSetupLimits(policy, server);
    }
    Attempt t = new Attempt(entry, now);
    state.attempts.add(t);
    long until = abandonAt > 0 ? Math.min(abandonAt, state.deadline) : state.deadline;
    int attempt = state.attempts.size() - 1;
    int dice = random.nextInt(100);
    long duration = random.nextLong(1, 120 * MS);
    if (now + duration >= until) {
      schedule(until - now, () -> end(state, t, attempt, Status.TIMEOUT));
    } else if (dice < 75) {
      schedule(duration, () -> open(state, t, attempt));
    } else {
      Status[] failures = {
        Status.FULL, Status.RESET, Status.CONNECT_FAILED, Status.CANCELLED, Status.ERROR
      };
      schedule(duration, () -> end(state, t, attempt, failures[dice % failures.length]));
    }
  }

  private void checkRepeats() {
    recentRepeats.add(now);
    recentRequests.removeIf(at -> at <= now - 10_000 * MS);
    recentRepeats.removeIf(at -> at <= now - 10_000 * MS);
    check(
        recentRepeats.size() <= Math.max(3, 0.25 * recentRequests.size()),
        "more repeats than the retry budget allows");
  }

  /** Checks that the set-ups in progress stay within the limits of the server and the fleet. */
  private void checkSetupLimits(Policy policy, String server) {
    SetupLimit setups = policy.node.servers.get(server).limits.setups;
    check(setups.slotsTaken(now) <= setups.allowed(), "set-ups beyond the limit of " + server);
    LimitsSnapshot fleet = policy.limits();
    check(fleet.setupsInProgress() <= fleet.setupsAllowed(), "set-ups beyond the limit: " + fleet);
  }

  /** Checks after the end of all requests that every slot and group has been released. */
  void checkEverythingReleased() {
    run(now + 20_000 * MS);
    Node node = ((Policy) balancer).node;
    LimitsSnapshot limits = balancer.limits();
    check(
        node.requests.isEmpty() && node.openConnections == 0,
        "still active: " + node.requests.size());
    check(limits.setupsInProgress() == 0 && limits.waiting() == 0, "not released: " + limits);
    long ejected =
        node.readyServers.stream().filter(s -> s.limits.outlierRecord.isEjected()).count();
    check(
        limits.ejectedServers() == ejected,
        "ejected " + limits.ejectedServers() + ", of the ready servers " + ejected);
    for (Server s : node.servers.values()) {
      check(s.limits.setups.slotsTaken(now) == 0, "slots still taken at " + s.id);
      check(s.limits.groups.size() == 0 && s.connections.isEmpty(), "groups still held at " + s.id);
      s.limits.recordReport(now, random.nextDouble(), 0);
      check(
          Math.abs(s.limits.unreportedLoad()) < 1e-9,
          "unreported load at " + s.id + ": " + s.limits.unreportedLoad());
    }
  }

  /** Checks rule 4 for a single node, which owns the whole budget, measured in mean requests. */
  private void checkColdServer(ServerEntry entry) {
    long age = now - entry.startedAtMicros();
    if (entry.startedAtMicros() == 0 || age >= settings.safetyRules().warmUpMicros()) {
      return;
    }
    List<Long> sent = coldSends.get(entry.id());
    sent.add(now);
    long window = settings.safetyRules().overloadWindowMicros();
    long recent = sent.stream().filter(at -> now - at < window).count();
    // At most 50 requests per 100 steps of 10 ms, that is 50 per second over a dozen servers.
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

  private void open(RequestState state, Attempt t, int attempt) {
    state.open = true;
    balancer.connectionAccepted(now, state.request.id(), attempt, t.server.id(), now - t.sentAt);
    schedule(random.nextLong(1, 3_000 * MS), () -> close(state, t, attempt));
  }

  private void close(RequestState state, Attempt t, int attempt) {
    if (t.pending) {
      t.pending = false;
      t.status = List.of(Status.OK, Status.RESET, Status.CANCELLED).get(random.nextInt(3));
      state.answered = true;
      state.open = false;
      balancer.attemptEnded(now, ended(state, t, attempt, true));
    }
  }

  private void end(RequestState state, Attempt t, int attempt, Status status) {
    t.pending = false;
    t.status = status;
    balancer.attemptEnded(now, ended(state, t, attempt, state.answered));
  }

  private Outcome ended(RequestState state, Attempt t, int attempt, boolean closed) {
    return new Outcome(
        state.request.id(), attempt, t.server.id(), t.status, now - t.sentAt, closed, List.of());
  }

  private void checkAnswer(long id, boolean refusal) {
    answers++;
    RequestState state = requests.get(id);
    check(state != null && !state.answered, "rule 1: a second answer: " + id);
    check(
        now <= state.deadline + settings.safetyRules().answerSlackMicros(),
        "rule 1: answered too late: " + id);
    if (refusal && type.repeatability() != Repeatability.FREE) {
      boolean mayHaveRun = state.attempts.stream().anyMatch(t -> t.pending || !t.status.neverRan);
      check(
          !mayHaveRun
              || (type.repeatability() == Repeatability.GUARDED
                  && type.deduplicationScope() == DeduplicationScope.ALL),
          "rule 2: refused though it may have run: " + id);
    }
    state.answered = true;
  }

  @Override
  public void refuse(long id, long retryAfter) {
    checkAnswer(id, true);
  }

  @Override
  public void fail(long id) {
    checkAnswer(id, false);
  }

  @Override
  public void cancel(long id, int attempt) {
    check(
        requests.containsKey(id) && attempt < requests.get(id).attempts.size(),
        "cancelled an attempt that does not exist");
  }

  @Override
  public void move(long id) {
    RequestState state = requests.get(id);
    check(
        state != null && state.open && !state.answered,
        "moved a connection that is not open: " + id);
    state.answered = true;
    state.open = false;
    Attempt t = last(state);
    t.pending = false;
    t.status = Status.CANCELLED;
    int attempt = state.attempts.size() - 1;
    schedule(MS, () -> balancer.attemptEnded(now, ended(state, t, attempt, true)));
  }

  @Override
  public void startTimer(long delay, long token) {
    check(delay >= 1, "a timer without a delay");
    schedule(delay, () -> balancer.timerExpired(now, token));
  }

  @Override
  public void probe(String server) {
    int dice = random.nextInt(10);
    Status status = dice < 8 ? Status.OK : dice < 9 ? Status.TIMEOUT : Status.FULL;
    List<Double> report =
        status == Status.OK
            ? List.of(random.nextDouble() * 0.8, random.nextDouble())
            : List.<Double>of();
    schedule(
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
