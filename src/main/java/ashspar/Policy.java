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
 * The decisions of one node. The interface and its nested types are in Balancer.java.
 *
 * <p>The mechanism is that of the Network Dispatcher (Goldszmidt and Hunt, "Scaling Internet
 * Services by Dynamic Allocation of Connections", sections 3 and 4): weighted round robin over
 * weights that are recomputed from a weighted load metric index. docs/design.md lists what is kept,
 * changed and added; the code comments state when each deviation applies.
 *
 * <p>This class handles the lifecycle of requests and delegates to the components of the {@link
 * Node}: {@link Weights} computes weights, {@link WeightedRoundRobin} orders the servers, {@link
 * Admission} decides which servers have capacity, {@link Probing} requests load reports, and {@link
 * ServerList} follows discovery.
 */
public final class Policy implements Balancer {
  private static final long MS = Node.MS;
  private static final long SECOND = Node.SECOND;
  // Upper bound; answers usually take a few milliseconds.
  private static final long MAX_PROBE_WAIT_MICROS = 60 * MS;
  // For a server that answered a probe with an error.
  private static final long PROBE_ERROR_PAUSE_MICROS = SECOND;
  // Between checks for capacity that only the passing of time frees.
  private static final long RELEASE_INTERVAL_MICROS = 25 * MS;
  private static final int MAX_OFFERED_QUEUES = 8; // queues of the waiting room tried per release

  /**
   * The load assumed for a server that rejects a probe as full, since such a server sends no
   * report.
   */
  private static final double OVERLOADED_LOAD = 1.1;

  private static final long TOKEN_TICK = 0;
  private static final long TOKEN_WATCH = 1;
  private static final long TOKEN_RELEASE = 2;
  // Timer tokens from here on are request ids plus this offset.
  private static final long TOKEN_REQUEST = 16;

  final Node node;
  private final ServerList serverList;
  private long watchRetryDelay = 2 * SECOND;
  private long nextReleaseAt;

  /** Creates the balancer of a node. The server list must follow through {@link #updateServers}. */
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
    ActiveRequest active = register(request);
    boolean first = !request.midFlow() && !request.reconnecting() && !request.retry();
    node.firstRequests += first ? 1 : 0;
    node.limits.requestValues.recordHint(request.loadHint());
    node.limits.retryBudget.recordRequest(at);
    if (request.reconnecting()) {
      node.limits.clientReconnected(at, request.clientKey());
    }
    node.limits.probeBudget.earn(node.settings.prices().probe(), request.retry());
    // Close to the deadline, probes are skipped: a request that waited for one was never answered.
    if (request.timeLeftMicros() > MAX_PROBE_WAIT_MICROS && node.settings.permissions().probes()) {
      node.probing.probeUpcoming(active);
    }
    if (active.pendingProbes > 0) {
      startWakeTimer(
          active,
          Math.min(
              MAX_PROBE_WAIT_MICROS,
              Math.min(active.requestClass.answerGoalMicros(), request.timeLeftMicros()) / 4 + 1));
    } else {
      enqueueOrAnswer(active);
    }
  }

  /** Validates a request and adds it to the active ones. */
  private ActiveRequest register(Request request) {
    Balancer.require(request != null, "a request must be given");
    RequestClass requestClass = node.classes.get(request.requestClass());
    Balancer.require(requestClass != null, "unknown class '" + request.requestClass() + "'");
    int maxAttempts = node.settings.permissions().maxAttempts();
    ActiveRequest active =
        new ActiveRequest(request, requestClass, maxAttempts, node.now + request.timeLeftMicros());
    ActiveRequest known = node.requests.putIfAbsent(request.id(), active);
    Balancer.require(known == null, "request " + request.id() + " is already active");
    return active;
  }

  private void startWakeTimer(ActiveRequest active, long delay) {
    node.actions.startTimer(Math.max(1, delay), TOKEN_REQUEST + active.request.id());
  }

  /** Queues a request until a server has capacity, or answers it if it cannot be sent in time. */
  private void enqueueOrAnswer(ActiveRequest active) {
    active.pendingProbes = 0;
    long timeLeft = active.sendDeadline() - node.now - node.settings.timerResolutionMicros();
    if (timeLeft <= 0
        || active.attempts >= active.maxAttempts
        || (active.attempts > 0 && !node.limits.retryBudget.allows(node.now))
        || node.limits.waitingRoom.expectedWait(
                active.request.tenant(), active.requestClass.value(), node.now)
            > timeLeft) {
      answerUnserved(active);
      return;
    }
    ActiveRequest rejected =
        node.limits.waitingRoom.chooseToReject(
            active, active.request.tenant(), active.requestClass.value());
    if (rejected != null) {
      answerUnserved(rejected);
    }
    if (rejected != active) {
      // The request joins the queue even if a server has capacity, so that it does not overtake
      // queued requests of the same or a higher value.
      active.ticket =
          node.limits.waitingRoom.enter(
              active,
              active.request.tenant(),
              active.requestClass.value(),
              active.deadline,
              node.now);
      startWakeTimer(active, timeLeft);
      releaseWaiting();
    }
  }

  /** Sends queued requests as long as servers have capacity for them. */
  private void releaseWaiting() {
    while (node.limits.waitingRoom.size() > 0
        && node.limits.waitingRoom.offer(this::trySend, MAX_OFFERED_QUEUES, node.now)) {}
    if (node.limits.waitingRoom.size() > 0 && node.now >= nextReleaseAt) {
      nextReleaseAt = node.now + RELEASE_INTERVAL_MICROS;
      node.actions.startTimer(RELEASE_INTERVAL_MICROS, TOKEN_RELEASE);
    }
  }

  /** Sends a request to the next suitable server; returns false if no server has capacity. */
  private boolean trySend(ActiveRequest active) {
    Server s = node.admission.selectServer(active);
    if (s == null || (active.attempts > 0 && !node.limits.retryBudget.allows(node.now))) {
      return false;
    }
    active.ticket = null;
    node.roundRobin.advance(s);
    s.recentPlacements++;
    node.admission.takeColdSlot(s, node.relativeCost(active));
    addLoad(active, s, false);
    node.limits.setupSent(node.now, s.limits, active.attempts++ > 0);
    active.server = s;
    active.sentAt = node.now;
    active.triedServers.add(s);
    node.actions.send(
        active.request.id(), s.id, Math.min(active.deadline, node.now + attemptTimeout(active)));
    return true;
  }

  /** Accounts for the load that the request adds to the server. */
  private void addLoad(ActiveRequest active, Server s, boolean reported) {
    active.addedLoad =
        node.limits.connectionAdded(
            node.now,
            s.limits,
            node.relativeCost(active),
            active.request.affinityGroup(),
            reported);
  }

  /**
   * Returns how long to wait for an attempt. For requests that may be repeated, this is a multiple
   * of the current set-up time, so that a lost attempt does not use up the whole deadline.
   * Otherwise the full remaining time is allowed: abandoning an attempt early wastes the server's
   * work.
   */
  private long attemptTimeout(ActiveRequest active) {
    long timeLeft = active.deadline - node.now;
    long timeout = node.limits.attemptTimeout.timeoutMicros();
    boolean hasAttemptsLeft = active.attempts < active.maxAttempts;
    boolean mayRepeat =
        hasAttemptsLeft
            && active.requestClass.repeatability() == Repeatability.FREE
            && timeLeft > 2 * timeout;
    return mayRepeat && node.limits.retryBudget.allows(node.now) ? timeout : timeLeft;
  }

  /** Gives the final answer: a refusal if a repeat is harmless, otherwise a failure. */
  private void answerUnserved(ActiveRequest active) {
    // An attempt in progress may still run on its server.
    boolean neverRan = active.mayHaveRunServer == null && active.server == null;
    boolean duplicatesAreDropped =
        active.requestClass.repeatability() == Repeatability.GUARDED
            && active.requestClass.deduplicationScope() == DeduplicationScope.ALL;
    forget(active);
    if (neverRan
        || active.requestClass.repeatability() == Repeatability.FREE
        || duplicatesAreDropped) {
      node.actions.refuse(active.request.id(), retryAfter(active));
    } else {
      node.actions.fail(active.request.id());
    }
  }

  /** Returns the retry hint for a refusal, 0 if hints are not permitted. */
  private long retryAfter(ActiveRequest active) {
    long maxDelay = node.settings.permissions().maxRetryAfterMicros();
    return node.settings.permissions().retryAfter()
        ? node.limits.waitingRoom.retryDelay(
            active.request.tenant(), active.requestClass.value(), node.now, maxDelay)
        : 0;
  }

  /**
   * Removes a request and releases every slot, budget and load it holds. No other method does so.
   */
  private void forget(ActiveRequest active) {
    node.requests.remove(active.request.id());
    if (active.ticket != null) {
      node.limits.waitingRoom.leave(active.ticket);
      active.ticket = null;
    }
    if (active.server != null) {
      node.limits.connectionRemoved(
          node.now, active.server.limits, active.addedLoad, active.request.affinityGroup());
      if (active.established) {
        node.limits.connectionEnded(
            node.now, active.request.clientKey(), !active.request.midFlow());
      } else {
        node.limits.setupEnded(node.now, active.server.limits, SetupOutcome.CALLED_OFF);
        active.server.limits.recordFailure(node.now, SetupOutcome.CALLED_OFF);
      }
    }
    if (active.established && active.server.connections.remove(active)) {
      node.openConnections--;
      node.limits.tenantShares.connectionClosed(active.request.tenant());
    }
  }

  private void connectionOpened(ActiveRequest active, Server s) {
    active.established = true;
    active.server = s;
    s.connections.add(active);
    node.openConnections++;
    node.limits.tenantShares.connectionOpened(active.request.tenant());
  }

  @Override
  public void connectionResumed(long at, Request request, String server) {
    node.now = at;
    ActiveRequest active = register(request);
    active.deadline = Long.MAX_VALUE;
    active.attempts = 1;
    connectionOpened(
        active,
        node.servers.computeIfAbsent(
            server, name -> new Server(name, node.limits.newServer(name))));
    addLoad(active, active.server, true);
  }

  @Override
  public void connectionAccepted(long at, long id, int attempt, String server, long elapsed) {
    node.now = at;
    ActiveRequest active = node.requests.get(id);
    if (active != null
        && active.server != null
        && !active.established
        && active.attempts == attempt + 1) {
      node.limits.attemptTimeout.recordAccepted(elapsed);
      node.limits.setupAnswered(at, active.server.limits, elapsed);
      connectionOpened(active, active.server);
      node.roundRobin.unpark(active.server);
      releaseWaiting();
    }
  }

  @Override
  public void connectionMeasured(
      long at, long id, int attempt, String server, MeasurementKind kind, double value) {
    node.now = at;
    ActiveRequest active = node.requests.get(id);
    if (active == null || !active.established) {
      return;
    }
    if (kind == MeasurementKind.LOAD) {
      active.load = value >= 0 && value < 1e12 ? value : active.load;
      node.limits.loadEstimate.recordLoad(active.requestClass.name(), active.load / SECOND);
    } else if (active.server.overloadDetector.recordMessage(
        at, value * MS > active.requestClass.messageDelayGoalMicros())) {
      recordOverload(active.server);
    }
  }

  /**
   * Treats a server as overloaded. An overloaded server answers messages late, or rejects probes as
   * full and then sends no load report.
   */
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
    ActiveRequest active = node.requests.get(outcome.id());
    if (active == null || outcome.attempt() != active.attempts - 1) {
      return;
    }
    Server server = active.server;
    SetupOutcome setupOutcome = outcome.status().setupOutcome;
    if (setupOutcome == SetupOutcome.TIMED_OUT
        && node.limits.attemptTimeout.isInconclusive(outcome.elapsedMicros())) {
      // The deadline left the server too little time, so the time-out says nothing about it.
      setupOutcome = SetupOutcome.CALLED_OFF;
    } else if (setupOutcome == SetupOutcome.CALLED_OFF
        && !active.established
        && !outcome.closed()) {
      // A draining server closes attempts before it accepts them.
      setupOutcome = SetupOutcome.REFUSED;
    }
    if (!active.established) {
      node.limits.setupEnded(at, server.limits, setupOutcome);
      node.limits.connectionRemoved(
          at, server.limits, active.addedLoad, active.request.affinityGroup());
      active.server = null;
    }
    long ejection = server.limits.recordFailure(at, setupOutcome);
    node.roundRobin.unpark(server);
    if (ejection > OutlierDetector.MIN_EJECTION_MICROS) {
      node.logRateLimited(server.id + " keeps failing; ejected for " + ejection / MS + " ms");
    }
    if (setupOutcome == SetupOutcome.TIMED_OUT) {
      node.limits.attemptTimeout.recordTimeout(outcome.elapsedMicros());
    }
    if (outcome.closed() || active.established) {
      boolean broken = outcome.status() == Status.RESET || outcome.status() == Status.CANCELLED;
      if (active.established && broken) {
        node.limits.connectionClosedByServer(at);
      }
      forget(active);
      releaseWaiting();
      return;
    }
    if (!outcome.status().neverRan && active.mayHaveRunServer == null) {
      active.mayHaveRunServer = server;
      active.mayHaveRunSentAt = active.sentAt;
    }
    if (outcome.status() == Status.CONNECT_FAILED && server.state == State.READY) {
      node.probing.quiesce(server);
      node.probing.probe(server);
    }
    enqueueOrAnswer(active);
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

  /** Ends an active request by the given action and reuses the released capacity. */
  private void finish(long at, long id, Consumer<ActiveRequest> action) {
    node.now = at;
    ActiveRequest active = node.requests.get(id);
    if (active != null) {
      action.accept(active);
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
      ActiveRequest active = node.requests.get(token - TOKEN_REQUEST);
      boolean isDue =
          active != null
              && active.sendDeadline() - node.now <= node.settings.timerResolutionMicros();
      if (active != null && active.server == null && (isDue || active.pendingProbes > 0)) {
        enqueueOrAnswer(active);
      }
    }
  }

  /** Recomputes weights and limits and sends the due probes, once per {@link Node#TICK_MICROS}. */
  private void tick() {
    node.actions.startTimer(Node.TICK_MICROS, TOKEN_TICK);
    node.admission.adjustScope();
    node.probing.tick();
    measure();
    node.weights.recompute();
    node.roundRobin.unpark();
    if (limits().isLimiting()) {
      node.logRateLimited("limits in effect: " + limits().summary());
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

  /**
   * Moves connections off an overloaded server. Every node with connections there sees the same
   * report, so each one moves the same share of its own connections.
   */
  private void shedLoad(Server s) {
    double share =
        s.connections.isEmpty()
            ? 0
            : Shedding.excessShare(s.reportedLoad(), node.limits.spareCapacity(node.now, s.limits));
    if (share > 0 && s.shedInterval.tryAcquire(node.now)) {
      ToDoubleFunction<ActiveRequest> valueLost =
          active ->
              node.limits.valueLostByMoving(
                  s.limits, node.relativeValue(active), active.request.affinityGroup());
      ToDoubleFunction<ActiveRequest> load = active -> Math.max(1, active.load);
      for (ActiveRequest active :
          Shedding.chooseConnections(
              s.connections, share, load, valueLost, node.random::nextDouble)) {
        forget(active);
        node.actions.move(active.request.id());
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
      // The server is about to drain and discovery has not reported it yet. Without this pause, the
      // server stayed next in turn and used up the probe budget.
      s.noPlacementsUntil = node.now + PROBE_ERROR_PAUSE_MICROS;
      s.noProbesUntil = node.now + 5 * PROBE_ERROR_PAUSE_MICROS;
    }
    node.roundRobin.unpark(s);
    List<ActiveRequest> waiting = List.copyOf(s.requestsAwaitingProbe);
    s.requestsAwaitingProbe.clear();
    for (ActiveRequest active : waiting) {
      if (--active.pendingProbes == 0
          && node.requests.get(active.request.id()) == active
          && active.server == null) {
        enqueueOrAnswer(active);
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
