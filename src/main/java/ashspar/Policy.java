package ashspar;

import ashspar.limits.LimitsSnapshot;
import ashspar.limits.OutlierDetector;
import ashspar.limits.SetupOutcome;
import ashspar.limits.Shedding;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

/**
 * All decisions of a node; the interface it implements, types included, is in Balancer.java.
 *
 * <p>The mechanism is the Network Dispatcher's (Goldszmidt and Hunt, "Scaling Internet Services by
 * Dynamic Allocation of Connections", sections 3 and 4): weighted round robin over weights that are
 * recomputed from a weighted load metric index. What is kept, changed and added stands in
 * docs/design.md; every departure says in its comment when it acts.
 *
 * <p>Here is the life of a request, told to the parts of the {@link Node}: {@link Weights}
 * computes, {@link WeightedRoundRobin} take turns, {@link Admission} says where there is room,
 * {@link Probing} asks servers, {@link ServerList} keeps their list.
 */
public final class Policy implements Balancer {
  private static final long MS = Node.MS;
  private static final long SECOND = Node.SECOND;
  private static final long MAX_PROBE_WAIT_MICROS = 60 * MS; // at most: an answer takes a few ms
  private static final long PROBE_ERROR_PAUSE_MICROS =
      SECOND; // of a server that answered a probe with an error
  private static final long RELEASE_INTERVAL_MICROS =
      25 * MS; // until places that time alone frees are looked for
  private static final int MAX_OFFERED_QUEUES =
      8; // most kinds of waiting requests that are tried in one look

  /** Load taken for a server that turns a probe away as full: reports of such are not to be had. */
  private static final double OVERLOADED_LOAD = 1.1;

  private static final long TOKEN_TICK = 0;
  private static final long TOKEN_WATCH = 1;
  private static final long TOKEN_RELEASE = 2;
  private static final long TOKEN_REQUEST = 16; // timer tokens from here on name requests

  final Node node;
  private final ServerList serverList;
  private long watchRetryDelay = 2 * SECOND;
  private long nextReleaseAt;

  /** Starts a node's balancer; the list of servers must follow. */
  public Policy(long now, Settings settings, long seed, Actions actions) {
    Balancer.require(settings != null, "settings must be given");
    Balancer.require(actions != null, "actions must be given");
    node = new Node(now, settings, seed, actions);
    serverList = new ServerList(node);
    actions.startTimer(1 + node.random.nextLong(Node.TICK_MICROS), TOKEN_TICK);
    if (settings.pullsDiscovery()) {
      actions.startTimer(1 + node.random.nextLong(watchRetryDelay), TOKEN_WATCH);
    }
  }

  @Override
  public void updateSettings(long at, Settings changed) {
    node.now = at;
    Balancer.require(changed != null, "settings must be given");
    node.configure(changed);
  }

  @Override
  public void requestReceived(long at, Request request) {
    node.now = at;
    ActiveRequest h = register(request);
    boolean first = !request.midFlow() && !request.reconnecting() && !request.retry();
    node.firstRequests += first ? 1 : 0;
    node.limits.requestValues.recordHint(request.loadHint());
    node.limits.retryBudget.recordRequest(at);
    if (request.reconnecting()) {
      node.limits.clientReconnected(at, request.clientKey());
    }
    node.limits.probeBudget.earn(node.settings.prices().probe(), request.retry());
    // Close to the deadline no probe is waited for: a request that kept waiting was never answered.
    if (request.timeLeftMicros() > MAX_PROBE_WAIT_MICROS && node.settings.permissions().probes()) {
      node.probing.probeUpcoming(h);
    }
    if (h.pendingProbes > 0) {
      startWakeTimer(
          h,
          Math.min(
              MAX_PROBE_WAIT_MICROS,
              Math.min(h.requestClass.answerGoalMicros(), request.timeLeftMicros()) / 4 + 1));
    } else {
      enqueueOrAnswer(h);
    }
  }

  private ActiveRequest register(Request request) {
    Balancer.require(request != null, "a request must be given");
    RequestClass type = node.classes.get(request.requestClass());
    Balancer.require(type != null, "unknown class '" + request.requestClass() + "'");
    int most = node.settings.permissions().maxAttempts();
    ActiveRequest h = new ActiveRequest(request, type, most, node.now + request.timeLeftMicros());
    ActiveRequest known = node.requests.putIfAbsent(request.id(), h);
    Balancer.require(known == null, "request " + request.id() + " is known");
    return h;
  }

  private void startWakeTimer(ActiveRequest h, long delay) {
    node.actions.startTimer(Math.max(1, delay), TOKEN_REQUEST + h.request.id());
  }

  /** Sends a request to the next server in turn, or lets it wait for one, or answers it. */
  private void enqueueOrAnswer(ActiveRequest h) {
    h.pendingProbes = 0;
    long left = h.sendDeadline() - node.now - node.settings.timerResolutionMicros();
    if (left <= 0
        || h.attempts >= h.maxAttempts
        || (h.attempts > 0 && !node.limits.retryBudget.allows(node.now))
        || node.limits.waitingRoom.expectedWait(
                h.request.tenant(), h.requestClass.value(), node.now)
            > left) {
      answerUnserved(h);
      return;
    }
    ActiveRequest out =
        node.limits.waitingRoom.chooseToReject(h, h.request.tenant(), h.requestClass.value());
    if (out != null) {
      answerUnserved(out);
    }
    if (out != h) {
      // Whoever waits already goes first, if he is worth as much.
      h.ticket =
          node.limits.waitingRoom.enter(
              h, h.request.tenant(), h.requestClass.value(), h.deadline, node.now);
      startWakeTimer(h, left);
      releaseWaiting();
    }
  }

  /** Lets out of the waiting room whom there are places for. */
  private void releaseWaiting() {
    while (node.limits.waitingRoom.size() > 0
        && node.limits.waitingRoom.offer(this::trySend, MAX_OFFERED_QUEUES, node.now)) {}
    if (node.limits.waitingRoom.size() > 0 && node.now >= nextReleaseAt) {
      nextReleaseAt = node.now + RELEASE_INTERVAL_MICROS;
      node.actions.startTimer(RELEASE_INTERVAL_MICROS, TOKEN_RELEASE);
    }
  }

  private boolean trySend(ActiveRequest h) {
    Server s = node.admission.selectServer(h);
    if (s == null || (h.attempts > 0 && !node.limits.retryBudget.allows(node.now))) {
      return false;
    }
    h.ticket = null;
    node.roundRobin.advance(s);
    s.recentPlacements++;
    node.admission.takeColdSlot(s, node.relativeCost(h));
    addLoad(h, s, false);
    node.limits.setupSent(node.now, s.limits, h.attempts++ > 0);
    h.server = s;
    h.sentAt = node.now;
    h.triedServers.add(s);
    node.actions.send(h.request.id(), s.id, Math.min(h.deadline, node.now + attemptTimeout(h)));
    return true;
  }

  private void addLoad(ActiveRequest h, Server s, boolean shown) {
    h.addedLoad =
        node.limits.connectionAdded(
            node.now, s.limits, node.relativeCost(h), h.request.affinityGroup(), shown);
  }

  /**
   * How long an attempt is waited for: many times what servers take now, so that a lost request
   * costs no whole deadline; attempts that were cut short of that were lost work, and tried again.
   */
  private long attemptTimeout(ActiveRequest h) {
    long left = h.deadline - node.now;
    long usual = node.limits.attemptTimeout.timeoutMicros();
    boolean more = h.attempts < h.maxAttempts;
    boolean again =
        more && h.requestClass.repeatability() == Repeatability.FREE && left > 2 * usual;
    return again && node.limits.retryBudget.allows(node.now) ? usual : left;
  }

  private void answerUnserved(ActiveRequest h) {
    boolean never = h.mayHaveRunServer == null && h.server == null; // what is out may run
    boolean dropped =
        h.requestClass.repeatability() == Repeatability.GUARDED
            && h.requestClass.deduplicationScope() == DeduplicationScope.ALL;
    forget(h);
    if (never || h.requestClass.repeatability() == Repeatability.FREE || dropped) {
      node.actions.refuse(h.request.id(), retryAfter(h));
    } else {
      node.actions.fail(h.request.id());
    }
  }

  private long retryAfter(ActiveRequest h) {
    long most = node.settings.permissions().maxRetryAfterMicros();
    return node.settings.permissions().retryAfter()
        ? node.limits.waitingRoom.retryDelay(
            h.request.tenant(), h.requestClass.value(), node.now, most)
        : 0;
  }

  /** The one place where a request is forgotten, and where what it still holds is given back. */
  private void forget(ActiveRequest h) {
    node.requests.remove(h.request.id());
    if (h.ticket != null) {
      node.limits.waitingRoom.leave(h.ticket);
      h.ticket = null;
    }
    if (h.server != null) {
      node.limits.connectionRemoved(
          node.now, h.server.limits, h.addedLoad, h.request.affinityGroup());
      if (h.established) {
        node.limits.connectionEnded(node.now, h.request.clientKey(), !h.request.midFlow());
      } else {
        node.limits.setupEnded(node.now, h.server.limits, SetupOutcome.CALLED_OFF);
        h.server.limits.recordFailure(node.now, SetupOutcome.CALLED_OFF);
      }
    }
    if (h.established && h.server.connections.remove(h)) {
      node.openConnections--;
      node.limits.tenantShares.connectionClosed(h.request.tenant());
    }
  }

  private void connectionOpened(ActiveRequest h, Server s) {
    h.established = true;
    h.server = s;
    s.connections.add(h);
    node.openConnections++;
    node.limits.tenantShares.connectionOpened(h.request.tenant());
  }

  @Override
  public void connectionResumed(long at, Request request, String server) {
    node.now = at;
    ActiveRequest h = register(request);
    h.deadline = Long.MAX_VALUE;
    h.attempts = 1;
    connectionOpened(
        h,
        node.servers.computeIfAbsent(
            server, name -> new Server(name, node.limits.newServer(name))));
    addLoad(h, h.server, true);
  }

  @Override
  public void connectionAccepted(long at, long id, int attempt, String server, long elapsed) {
    node.now = at;
    ActiveRequest h = node.requests.get(id);
    if (h != null && h.server != null && !h.established && h.attempts == attempt + 1) {
      node.limits.attemptTimeout.recordAccepted(elapsed);
      node.limits.setupAnswered(at, h.server.limits, elapsed);
      connectionOpened(h, h.server);
      node.roundRobin.unpark(h.server);
      releaseWaiting();
    }
  }

  @Override
  public void connectionMeasured(
      long at, long id, int attempt, String server, MeasurementKind kind, double value) {
    node.now = at;
    ActiveRequest h = node.requests.get(id);
    if (h == null || !h.established) {
      return;
    }
    if (kind == MeasurementKind.LOAD) {
      h.load = value >= 0 && value < 1e12 ? value : h.load;
      node.limits.loadEstimate.recordLoad(h.requestClass.name(), h.load / SECOND);
    } else if (h.server.overloadDetector.recordMessage(
        at, value * MS > h.requestClass.messageDelayGoalMicros())) {
      recordOverload(h.server);
    }
  }

  /** A deep probe waits like a request: overloaded servers turn it away and send no report. */
  private void recordOverload(Server s) {
    s.metrics[Weights.LOAD] =
        s.reportedLoad() > OVERLOADED_LOAD ? s.reportedLoad() : OVERLOADED_LOAD;
    s.reportedAt = node.now;
    s.limits.recordReport(node.now, s.reportedLoad(), Double.NaN);
    node.weights.recompute(s);
    shedLoad(s);
  }

  @Override
  public void attemptEnded(long at, Outcome outcome) {
    node.now = at;
    Balancer.require(outcome != null, "an outcome must be given");
    Server s = node.servers.get(outcome.server());
    if (s != null && !outcome.report().isEmpty()) {
      node.weights.recordReport(s, outcome.report());
    }
    ActiveRequest h = node.requests.get(outcome.id());
    if (h == null || outcome.attempt() != h.attempts - 1) {
      return;
    }
    Server was = h.server;
    SetupOutcome how = outcome.status().setupOutcome;
    if (how == SetupOutcome.TIMED_OUT
        && node.limits.attemptTimeout.isInconclusive(outcome.elapsedMicros())) {
      how =
          SetupOutcome.CALLED_OFF; // its deadline left it no time: that tells nothing of the server
    } else if (how == SetupOutcome.CALLED_OFF && !h.established && !outcome.closed()) {
      how = SetupOutcome.REFUSED; // a server that drains sends its clients away
    }
    if (!h.established) {
      node.limits.setupEnded(at, was.limits, how);
      node.limits.connectionRemoved(at, was.limits, h.addedLoad, h.request.affinityGroup());
      h.server = null;
    }
    long rest = was.limits.recordFailure(at, how);
    node.roundRobin.unpark(was);
    if (rest > OutlierDetector.MIN_EJECTION_MICROS) {
      node.logRateLimited(was.id + " goes on failing: it rests for " + rest / MS + " ms");
    }
    if (how == SetupOutcome.TIMED_OUT) {
      node.limits.attemptTimeout.recordTimeout(outcome.elapsedMicros());
    }
    if (outcome.closed() || h.established) {
      boolean broken = outcome.status() == Status.RESET || outcome.status() == Status.CANCELLED;
      if (h.established && broken) {
        node.limits.connectionClosedByServer(at);
      }
      forget(h);
      releaseWaiting();
      return;
    }
    if (!outcome.status().neverRan && h.mayHaveRunServer == null) {
      h.mayHaveRunServer = was;
      h.mayHaveRunSentAt = h.sentAt;
    }
    if (outcome.status() == Status.CONNECT_FAILED && was.state == State.READY) {
      node.probing.quiesce(was);
      node.probing.probe(was);
    }
    enqueueOrAnswer(h);
    releaseWaiting();
  }

  @Override
  public void requestWithdrawn(long at, long id) {
    finish(at, id, this::forget);
  }

  @Override
  public void answerNow(long at, long id) {
    finish(at, id, this::answerUnserved);
  }

  private void finish(long at, long id, Consumer<ActiveRequest> how) {
    node.now = at;
    ActiveRequest h = node.requests.get(id);
    if (h != null) {
      how.accept(h);
      releaseWaiting();
    }
  }

  @Override
  public void timerExpired(long at, long token) {
    node.now = at;
    if (token == TOKEN_TICK) {
      tick();
    } else if (token == TOKEN_WATCH) {
      node.actions.watchDiscovery(true);
    } else if (token == TOKEN_RELEASE) {
      node.probing.refreshReports();
      node.roundRobin.unpark();
      releaseWaiting();
    } else {
      ActiveRequest h = node.requests.get(token - TOKEN_REQUEST);
      boolean due =
          h != null && h.sendDeadline() - node.now <= node.settings.timerResolutionMicros();
      if (h != null && h.server == null && (due || h.pendingProbes > 0)) {
        enqueueOrAnswer(h);
      }
    }
  }

  private void tick() {
    node.actions.startTimer(Node.TICK_MICROS, TOKEN_TICK);
    node.admission.adjustScope();
    node.probing.tick();
    measure();
    node.weights.recompute();
    node.roundRobin.unpark();
    if (limits().isLimiting()) {
      node.logRateLimited("limits bind: " + limits().summary());
    }
    releaseWaiting();
  }

  private void measure() {
    double mean = node.weights.meanLoad();
    node.limits.measure(
        node.now, mean, node.openConnections, node.limits.budgetDivision.participants(node.now));
  }

  @Override
  public void updateBudgetShare(long at, BudgetShare share) {
    node.now = at;
    Balancer.require(share != null, "a share must be given");
    if (node.admission.updateShare(share)) {
      releaseWaiting();
    }
  }

  @Override
  public void assignServers(long at, Set<String> servers) {
    node.now = at;
    node.subset = servers;
    node.servers.values().forEach(s -> s.inSubset = servers == null || servers.contains(s.id));
    node.limits.noCapacityCache.clear();
  }

  @Override
  public LimitsSnapshot limits() {
    return node.limits.snapshot(node.now);
  }

  /** Every node that holds some sees the same report, so each moves the share that is too much. */
  private void shedLoad(Server s) {
    double share =
        s.connections.isEmpty()
            ? 0
            : Shedding.excessShare(s.reportedLoad(), node.limits.spareCapacity(node.now, s.limits));
    if (share > 0 && s.shedInterval.tryAcquire(node.now)) {
      ToDoubleFunction<ActiveRequest> worth =
          h ->
              node.limits.valueLostByMoving(
                  s.limits, node.relativeValue(h), h.request.affinityGroup());
      ToDoubleFunction<ActiveRequest> load = h -> Math.max(1, h.load);
      for (ActiveRequest h :
          Shedding.chooseConnections(s.connections, share, load, worth, node.random::nextDouble)) {
        forget(h);
        node.actions.move(h.request.id());
      }
    }
  }

  @Override
  public void probeCompleted(
      long at, String server, Status status, long elapsed, List<Double> row) {
    node.now = at;
    Balancer.require(status != null, "a probe's answer needs a status");
    Server s = node.servers.get(server);
    if (s == null) {
      return;
    }
    s.probePending = false;
    if (status == Status.OK) {
      s.limits.outlierRecord.recordProbeAnswer(at);
      node.weights.recordReport(s, row);
      node.weights.recordProbeLatency(s, elapsed);
      node.probing.restore(s);
      node.weights.recompute(s);
      shedLoad(s);
    } else if (status == Status.FULL) {
      recordOverload(s);
    } else if (status == Status.TIMEOUT || status == Status.CONNECT_FAILED) {
      node.probing.quiesce(s);
    } else {
      // It begins to drain, before the list tells: left due, it took up all the probes.
      s.noPlacementsUntil = node.now + PROBE_ERROR_PAUSE_MICROS;
      s.noProbesUntil = node.now + 5 * PROBE_ERROR_PAUSE_MICROS;
    }
    node.roundRobin.unpark(s);
    List<ActiveRequest> waiting = List.copyOf(s.requestsAwaitingProbe);
    s.requestsAwaitingProbe.clear();
    for (ActiveRequest h : waiting) {
      if (--h.pendingProbes == 0 && node.requests.get(h.request.id()) == h && h.server == null) {
        enqueueOrAnswer(h);
      }
    }
    releaseWaiting();
  }

  @Override
  public void updateServers(long at, ListKind kind, List<ServerEntry> entries) {
    node.now = at;
    Balancer.require(kind != null && entries != null, "a list needs a kind and entries");
    if (kind != ListKind.FAILED) {
      watchRetryDelay = kind == ListKind.CACHED ? watchRetryDelay : 2 * SECOND;
      serverList.apply(kind, entries);
      measure();
      releaseWaiting();
    } else if (node.settings.pullsDiscovery()) {
      node.actions.startTimer(
          watchRetryDelay / 2 + node.random.nextLong(watchRetryDelay), TOKEN_WATCH);
      watchRetryDelay = Math.min(16 * SECOND, 2 * watchRetryDelay);
    }
  }
}
