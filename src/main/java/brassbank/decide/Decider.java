package brassbank.decide;

import static brassbank.log.Field.flow;
import static brassbank.log.Field.target;
import static brassbank.log.Field.value;

import ashspar.Balancer;
import ashspar.Policy;
import ashspar.limits.LimitsSnapshot;
import brassbank.lifecycle.DrainSchedule;
import brassbank.lifecycle.Event;
import brassbank.lifecycle.Lifecycle;
import brassbank.lifecycle.State;
import brassbank.log.Log;
import brassbank.subsets.Subset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The blocking facade in front of the decision module: each call returns the decisions to carry
 * out. The facade owns the module, its timers and the table of open flows, and guarantees that each
 * flow gets one final answer, that each forward has one outcome, that a flow has at most one
 * outstanding forward, and that no decision follows the end of a flow.
 *
 * <p>Not thread-safe. The facade does no I/O and makes no callbacks. Times are microseconds of the
 * facade's clock unless the name says otherwise.
 */
public final class Decider {
  private static final Log LOG = Log.of("decide");

  private static final long MICROS_PER_MILLI = 1_000;

  /** The delay before a connection from before the start is tried again at its own target. */
  private static final long RESUME_RETRY_DELAY_MICROS = 300 * MICROS_PER_MILLI;

  /** An outcome that has not been reported to the module yet. */
  private record DeferredOutcome(FlowEntry entry, Outcome outcome, boolean isClosed) {}

  private Balancer.Settings settings;
  private final FlowClock clock;
  private final Balancer module;
  private final FlowTable flows = new FlowTable();
  private final TargetGroup targetGroup;
  private final Predecessors predecessors;
  private final ResponseDelays responseDelays = new ResponseDelays();
  private final TimerQueue timers = new TimerQueue();
  private final ArrayDeque<DeferredOutcome> deferredOutcomes = new ArrayDeque<>();
  private List<Decision> decisions = new ArrayList<>();
  private long nowMicros;
  private final Lifecycle lifecycle = new Lifecycle();
  private boolean hasTargetList;
  private long newFlowCount;

  /** The targets that this proxy probes and prefers, or null for all targets. */
  private Subset subset;

  /**
   * Creates the facade and starts the module.
   *
   * @param known the last target list that this proxy had, perhaps outdated
   */
  public Decider(Balancer.Settings settings, long seed, TargetList known, FlowClock clock) {
    this.clock = clock;
    this.targetGroup = new TargetGroup(clock);
    this.nowMicros = clock.now();
    this.module = new Policy(nowMicros, settings, seed, new ActionCollector());
    this.predecessors = new Predecessors(module);
    configure(settings);
    applyList(known, Balancer.ListKind.CACHED);
  }

  private void configure(Balancer.Settings changed) {
    settings = changed;
    responseDelays.configure(changed);
  }

  /**
   * Decides on a new flow.
   *
   * @return the resulting decisions, with a {@code Hold} if there is none on the flow yet
   * @throws IllegalArgumentException if a flow of this id is open
   */
  public List<Decision> pick(Flow flow) {
    nowMicros = clock.now();
    Balancer.require(flows.get(flow.id()) == null, "flow " + flow.id() + " is already open");
    if (lifecycle.refusesClients(nowMicros)) {
      return List.of(new Decision.FixedResponse(flow.id(), retryAfterMillis()));
    }
    if (settings.classes().stream().noneMatch(c -> c.name().equals(flow.flowClass()))) {
      return List.of(new Decision.Fail(flow.id()));
    }
    Balancer.Request request =
        new Balancer.Request(
            flow.id(),
            flow.key(),
            flow.group(),
            flow.flowClass(),
            flow.tenant(),
            Math.max(0, flow.remainingMicros()),
            flow.loadHint(),
            flow.isRetry(),
            false,
            flow.isReconnecting());
    newFlowCount += flow.isRetry() || flow.isReconnecting() ? 0 : 1;
    FlowEntry entry = new FlowEntry(flow, request, nowMicros + request.timeLeftMicros(), settings);
    flows.add(entry);
    timers.schedule(
        entry.deadlineMicros + settings.safetyRules().answerSlackMicros(),
        TimerQueue.Kind.ANSWER_DUE,
        flow.id());
    if (flow.resumeTarget() != null) {
      resume(entry);
    } else {
      module.requestReceived(nowMicros, request);
    }
    if (flows.get(flow.id()) == entry && entry.stage == FlowEntry.Stage.PENDING) {
      decisions.add(new Decision.Hold(flow.id()));
    }
    return takeDecisions();
  }

  /** Processes an event and returns the resulting decisions. */
  public List<Decision> report(NetworkEvent event) {
    nowMicros = clock.now();
    if (event instanceof NetworkEvent.FlowEstablished established) {
      flowEstablished(established.flow());
    } else if (event instanceof NetworkEvent.LoadReported load) {
      FlowEntry entry = flows.getEstablished(load.flow());
      if (entry != null) {
        entry.load = load.load();
        reportMeasurement(entry, Balancer.MeasurementKind.LOAD, load.load());
      }
    } else if (event instanceof NetworkEvent.RequestRelayed request) {
      requestRelayed(flows.getEstablished(request.flow()));
    } else if (event instanceof NetworkEvent.ResponseRelayed response) {
      responseRelayed(flows.getEstablished(response.flow()));
    } else if (event instanceof NetworkEvent.TargetReadPaused paused) {
      targetReadPaused(flows.getEstablished(paused.flow()));
    } else if (event instanceof NetworkEvent.TargetReadResumed resumed) {
      targetReadResumed(flows.getEstablished(resumed.flow()));
    } else if (event instanceof NetworkEvent.ForwardEnded ended) {
      forwardEnded(ended);
    } else if (event instanceof NetworkEvent.ClientDisconnected disconnected) {
      clientDisconnected(disconnected.flow());
    } else if (event instanceof NetworkEvent.ProbeCompleted probed) {
      module.probeCompleted(
          nowMicros,
          probed.target(),
          probed.outcome().status,
          probed.elapsedMicros(),
          probed.report());
    } else if (event instanceof NetworkEvent.TargetsListed listed) {
      hasTargetList = true;
      applyList(
          listed.list(),
          listed.list().isSnapshot() ? Balancer.ListKind.FULL : Balancer.ListKind.DELTA);
    } else if (event instanceof NetworkEvent.FetchFailed) {
      module.updateServers(nowMicros, Balancer.ListKind.FAILED, List.of());
    } else if (event instanceof NetworkEvent.SettingsChanged changed) {
      configure(changed.settings());
      module.updateSettings(nowMicros, settings);
    } else if (event instanceof NetworkEvent.StopRequested stop) {
      startDrain(lifecycle.stop(nowMicros, stop.deadlineMicros()));
      flows.establishedFlows().forEach(this::moveIfStoppingAndBehind);
    } else if (event instanceof NetworkEvent.StandbyRequested) {
      startDrain(lifecycle.handle(Event.STANDBY, nowMicros));
    } else if (event instanceof NetworkEvent.ActivationRequested) {
      lifecycle.handle(Event.ACTIVE, nowMicros);
    } else if (event instanceof NetworkEvent.PredecessorReported predecessor) {
      if (!hasTargetList && !predecessor.targets().isEmpty()) {
        // The predecessor's list is newer than the one that this process was started with.
        applyList(new TargetList(0, true, predecessor.targets()), Balancer.ListKind.CACHED);
      }
      predecessors.update(nowMicros, settings, predecessor.processId(), predecessor.connections());
    } else if (event instanceof NetworkEvent.SuccessorChanged successor) {
      lifecycle.setSuccessorPresent(successor.isPresent());
    } else if (event instanceof NetworkEvent.BudgetShareChanged share) {
      module.updateBudgetShare(
          nowMicros,
          new Balancer.BudgetShare(
              share.share(),
              share.baseShare(),
              share.rank(),
              share.participants(),
              clock.fromNanos(share.untilNanos())));
    } else if (event instanceof NetworkEvent.ServingStarted) {
      lifecycle.handle(Event.SERVING, nowMicros);
    } else if (event instanceof NetworkEvent.SubsetChanged changed) {
      subset = changed.subset();
      module.assignServers(nowMicros, subset == null ? null : subset.select(targetGroup.peers()));
    }
    return takeDecisions();
  }

  /** Runs the timers that are due at {@code atMicros} and returns the resulting decisions. */
  public List<Decision> tick(long atMicros) {
    nowMicros = Math.max(nowMicros, atMicros);
    for (TimerQueue.Timer due = timers.pollDue(nowMicros);
        due != null;
        due = timers.pollDue(nowMicros)) {
      fire(due);
    }
    return takeDecisions();
  }

  /** Returns when {@link #tick} is next due, or {@link Long#MAX_VALUE} if no timer is pending. */
  public long nextTick() {
    return timers.nextDueMicros();
  }

  /** Returns the number of flows without a final answer and of established connections. */
  public int openFlowCount() {
    return flows.size();
  }

  /** Returns the number of flows picked so far, without retries and reconnects. */
  public long newFlowCount() {
    return newFlowCount;
  }

  /** Whether clients are admitted, which requires that a target is known. */
  public boolean admitsClients() {
    return lifecycle.admitsClients() && !targetGroup.isEmpty();
  }

  /** Whether any target is known. */
  public boolean hasTargets() {
    return !targetGroup.isEmpty();
  }

  /** Whether discovery has reported a target list to this process. */
  public boolean hasTargetList() {
    return hasTargetList;
  }

  /** Whether the proxy is moving its clients away or has done so. */
  public boolean isLeaving() {
    return lifecycle.state().isLeaving();
  }

  /** Returns the state of the proxy. */
  public State state() {
    return lifecycle.state();
  }

  /** Returns a snapshot of the limits that the module applies. */
  public LimitsSnapshot limits() {
    return module.limits();
  }

  private List<Decision> takeDecisions() {
    // Outcomes of forwards that the module itself ended must not reach it within its own call.
    while (!deferredOutcomes.isEmpty()) {
      DeferredOutcome next = deferredOutcomes.remove();
      reportOutcome(next.entry(), next.outcome(), next.isClosed());
    }
    if (decisions.isEmpty()) {
      // Most relayed lines lead to no decision; they must not allocate a list.
      return List.of();
    }
    List<Decision> decided = decisions;
    decisions = new ArrayList<>();
    return decided;
  }

  private void flowEstablished(long flow) {
    FlowEntry entry = flows.get(flow);
    if (entry == null || entry.stage != FlowEntry.Stage.FORWARDED) {
      return;
    }
    entry.stage = FlowEntry.Stage.ESTABLISHED;
    if (entry.flow.resumeTarget() != null) {
      module.connectionResumed(nowMicros, entry.request, entry.target.name());
    } else {
      module.connectionAccepted(
          nowMicros,
          flow,
          entry.forwardCount - 1,
          entry.target.name(),
          nowMicros - entry.sentAtMicros);
    }
  }

  private void forwardEnded(NetworkEvent.ForwardEnded ended) {
    FlowEntry entry = flows.get(ended.flow());
    if (entry == null || entry.stage == FlowEntry.Stage.PENDING) {
      return;
    }
    if (entry.stage == FlowEntry.Stage.ESTABLISHED) {
      if (ended.outcome() == Outcome.RESET) {
        LOG.info("connection-broken", flow(entry.flow.id()), target(entry.target.name()));
      }
      flows.remove(entry);
      reportOutcome(entry, ended.outcome(), true);
    } else {
      LOG.info(
          "forward-ended",
          flow(entry.flow.id()),
          target(entry.target.name()),
          value("ending", ended.outcome()));
      entry.stage = FlowEntry.Stage.PENDING;
      reportOutcome(entry, ended.outcome(), false);
    }
  }

  private void clientDisconnected(long flow) {
    FlowEntry entry = flows.get(flow);
    if (entry == null) {
      return;
    }
    flows.remove(entry);
    if (entry.stage == FlowEntry.Stage.ESTABLISHED) {
      reportOutcome(entry, Outcome.CANCELLED, true);
      return;
    }
    if (entry.flow.resumeTarget() == null) {
      module.requestWithdrawn(nowMicros, flow);
    }
    if (entry.stage == FlowEntry.Stage.FORWARDED) {
      decisions.add(new Decision.Cancel(flow));
      reportOutcome(entry, Outcome.CANCELLED, true);
    }
  }

  /**
   * Reports an outcome to the module. All outcomes of forwards go through this method.
   *
   * @param isClosed whether the flow has its final answer
   */
  private void reportOutcome(FlowEntry entry, Outcome outcome, boolean isClosed) {
    if (entry.flow.resumeTarget() != null && entry.stage != FlowEntry.Stage.ESTABLISHED) {
      if (!isClosed) {
        retryResume(entry, outcome);
      }
      return;
    }
    if (!outcome.status.neverRan) {
      entry.markMayHaveRun();
    }
    module.attemptEnded(
        nowMicros,
        new Balancer.Outcome(
            entry.flow.id(),
            entry.attemptNumber(),
            entry.target.name(),
            outcome.status,
            nowMicros - entry.sentAtMicros,
            isClosed,
            List.of()));
  }

  private void forward(FlowEntry entry, Target target, long answerDeadlineMicros) {
    entry.stage = FlowEntry.Stage.FORWARDED;
    entry.forwardCount++;
    entry.target = target;
    entry.sentAtMicros = nowMicros;
    timers.schedule(
        answerDeadlineMicros, TimerQueue.Kind.FORWARD_DUE, entry.flow.id(), entry.forwardCount);
    decisions.add(
        new Decision.Forward(
            entry.flow.id(), target, answerDeadlineMicros, entry.sendDeadlineMicros()));
  }

  /**
   * Forwards a connection from before this proxy's start to its own target. The module is informed
   * once the connection is established again.
   */
  private void resume(FlowEntry entry) {
    Target target = targetGroup.get(entry.flow.resumeTarget());
    if (target != null) {
      forward(entry, target, entry.deadlineMicros);
    } else {
      timers.schedule(
          nowMicros + RESUME_RETRY_DELAY_MICROS, TimerQueue.Kind.REJOIN, entry.flow.id());
    }
  }

  private void retryResume(FlowEntry entry, Outcome outcome) {
    boolean shouldRetry =
        outcome == Outcome.CONNECT_FAILED
            && nowMicros + RESUME_RETRY_DELAY_MICROS < entry.deadlineMicros
            && entry.forwardCount < entry.settings.permissions().maxAttempts();
    if (shouldRetry) {
      timers.schedule(
          nowMicros + RESUME_RETRY_DELAY_MICROS, TimerQueue.Kind.REJOIN, entry.flow.id());
    } else {
      flows.remove(entry);
      decisions.add(
          outcome.status.neverRan
              ? new Decision.FixedResponse(entry.flow.id(), 0)
              : new Decision.Fail(entry.flow.id()));
    }
  }

  private void requestRelayed(FlowEntry entry) {
    if (entry != null && !entry.responseWait.isPending()) {
      entry.responseWait.requestRelayed(nowMicros);
      scheduleUnansweredCheck(entry);
    }
  }

  /**
   * Has the connection checked when its target may count as silent; while it is not read, that is
   * only once it is read again.
   */
  private void scheduleUnansweredCheck(FlowEntry entry) {
    // One timer per connection, not per line: with thousands of lines a second, timers that cannot
    // be cancelled would accumulate.
    if (!entry.hasUnansweredTimer
        && entry.responseWait.isPending()
        && entry.responseWait.isRead()) {
      entry.hasUnansweredTimer = true;
      timers.schedule(
          entry.responseWait.silentAtMicros(), TimerQueue.Kind.UNANSWERED, entry.flow.id());
    }
  }

  private void responseRelayed(FlowEntry entry) {
    if (entry == null || !entry.responseWait.isPending()) {
      return;
    }
    double millis = entry.responseWait.elapsedMicros(nowMicros) / (double) MICROS_PER_MILLI;
    boolean wasUnread = entry.responseWait.unreadMicros(nowMicros) > 0;
    entry.responseWait.responseRelayed();
    if (wasUnread) {
      // The response may have arrived at any time, so that its delay says nothing of the target.
      return;
    }
    if (responseDelays.shouldReport(nowMicros, entry.target.name(), millis)) {
      reportMeasurement(entry, Balancer.MeasurementKind.DELAY, millis);
    }
  }

  private void targetReadPaused(FlowEntry entry) {
    if (entry != null) {
      entry.responseWait.readingPaused(nowMicros);
      moveIfStoppingAndBehind(entry);
    }
  }

  /**
   * Moves a client that does not keep up with its target without delay if the process ends soon: it
   * needs the time that is left to read up to the final line.
   */
  private void moveIfStoppingAndBehind(FlowEntry entry) {
    if (lifecycle.state() == State.STOPPING && !entry.responseWait.isRead()) {
      move(entry);
    }
  }

  private void targetReadResumed(FlowEntry entry) {
    if (entry != null) {
      entry.responseWait.readingResumed(nowMicros);
      scheduleUnansweredCheck(entry);
    }
  }

  private void reportMeasurement(FlowEntry entry, Balancer.MeasurementKind kind, double value) {
    module.connectionMeasured(
        nowMicros, entry.flow.id(), entry.attemptNumber(), entry.target.name(), kind, value);
  }

  private void fire(TimerQueue.Timer timer) {
    if (timer.kind() == TimerQueue.Kind.MODULE) {
      module.timerExpired(nowMicros, timer.subject());
      return;
    }
    if (timer.kind() == TimerQueue.Kind.LEAVE) {
      if (timer.subject() == lifecycle.drainNumber()) {
        drainStep();
      }
      return;
    }
    FlowEntry entry = flows.get(timer.subject());
    if (entry == null) {
      return;
    }
    switch (timer.kind()) {
      case FORWARD_DUE -> {
        if (entry.stage == FlowEntry.Stage.FORWARDED
            && entry.forwardCount == timer.forwardNumber()) {
          LOG.info("forward-unanswered", flow(entry.flow.id()), target(entry.target.name()));
          entry.stage = FlowEntry.Stage.PENDING;
          decisions.add(new Decision.Cancel(entry.flow.id()));
          reportOutcome(entry, Outcome.TIMED_OUT, false);
        }
      }
      case ANSWER_DUE -> {
        // Whatever the module does, a client must get its answer before it times out.
        if (entry.stage != FlowEntry.Stage.ESTABLISHED) {
          LOG.warn("deadline-passed", flow(entry.flow.id()));
          answerUnserved(entry);
        }
      }
      case UNANSWERED -> {
        entry.hasUnansweredTimer = false;
        if (entry.responseWait.isSilent(nowMicros)) {
          moveFromSilentTarget(entry);
        } else {
          scheduleUnansweredCheck(entry);
        }
      }
      case REJOIN -> {
        if (entry.stage == FlowEntry.Stage.PENDING) {
          resume(entry);
        }
      }
      default -> throw new IllegalStateException("unexpected timer: " + timer.kind());
    }
  }

  private void moveFromSilentTarget(FlowEntry entry) {
    LOG.info(
        "connection-silent",
        flow(entry.flow.id()),
        target(entry.target.name()),
        value("unanswered_ms", entry.responseWait.elapsedMicros(nowMicros) / MICROS_PER_MILLI),
        value("unread_ms", entry.responseWait.unreadMicros(nowMicros) / MICROS_PER_MILLI));
    flows.remove(entry);
    decisions.add(new Decision.Move(entry.flow.id()));
    reportOutcome(entry, Outcome.RESET, true);
  }

  /**
   * Gives a flow that is not served its final answer. The module chooses the answer: where a
   * forward may have run, the answer must not promise that a retry is harmless, unless it is.
   */
  private void answerUnserved(FlowEntry entry) {
    if (entry.flow.resumeTarget() == null) {
      module.answerNow(nowMicros, entry.flow.id());
    }
    if (flows.get(entry.flow.id()) != entry) {
      return;
    }
    // The module does not know connections from before this proxy's start.
    flows.remove(entry);
    if (entry.stage == FlowEntry.Stage.FORWARDED) {
      decisions.add(new Decision.Cancel(entry.flow.id()));
      decisions.add(new Decision.Fail(entry.flow.id()));
    } else {
      decisions.add(new Decision.FixedResponse(entry.flow.id(), retryAfterMillis()));
    }
  }

  /**
   * Returns the retry hint for a refused client. Only a proxy that is leaving knows when the client
   * would reach another proxy; otherwise the hint is 0.
   */
  private long retryAfterMillis() {
    Balancer.Permissions permissions = settings.permissions();
    return permissions.retryAfter()
        ? Math.min(lifecycle.retryDelayMicros(nowMicros), permissions.maxRetryAfterMicros())
            / MICROS_PER_MILLI
        : 0;
  }

  /**
   * Whether the target still accepts new flows. A forward must not be sent to a target that began
   * to drain while the connect was in progress.
   */
  public boolean isServing(String target) {
    return targetGroup.isServing(target);
  }

  /** Returns the target group as discovery last reported it. */
  public List<TargetList.Entry> targets() {
    return targetGroup.entries();
  }

  /** Returns how many connections of predecessors the module counts. */
  int predecessorConnectionCount() {
    return predecessors.connectionCount();
  }

  /** Returns the established connections of this process. */
  public List<EstablishedConnection> establishedConnections() {
    return flows.establishedConnections();
  }

  private void startDrain(boolean hasBegun) {
    if (hasBegun) {
      DrainSchedule schedule = lifecycle.drainSchedule();
      LOG.info(
          "departure-planned",
          value("state", lifecycle.state()),
          value("flows", flows.size()),
          value(
              "from_ms", schedule.microsUntilFirstMove(nowMicros, flows.size()) / MICROS_PER_MILLI),
          value("to_ms", schedule.microsUntilEnd(nowMicros) / MICROS_PER_MILLI));
      timers.schedule(nowMicros, TimerQueue.Kind.LEAVE, lifecycle.drainNumber());
    }
  }

  /**
   * Performs one step of the drain: moves clients and refuses pending flows, as many as the
   * schedule asks for. Pending flows go first, since this proxy does not serve them. An outstanding
   * forward may still be answered until the end of the schedule.
   */
  private void drainStep() {
    List<FlowEntry> candidates = flows.drainOrder();
    DrainSchedule.Step step = lifecycle.step(nowMicros, candidates.size(), flows.size());
    if (step == null) {
      return;
    }
    candidates.stream().limit(step.count()).forEach(this::drainFlow);
    if (lifecycle.refusesClients(nowMicros)) {
      flows.openFlows().forEach(this::drainFlow);
    }
    if (lifecycle.drainSchedule() == null) {
      LOG.info("drained");
    } else {
      timers.schedule(step.nextMicros(), TimerQueue.Kind.LEAVE, lifecycle.drainNumber());
    }
  }

  private void drainFlow(FlowEntry entry) {
    if (entry.stage == FlowEntry.Stage.ESTABLISHED) {
      move(entry);
    } else {
      answerUnserved(entry);
    }
  }

  private void move(FlowEntry entry) {
    flows.remove(entry);
    decisions.add(new Decision.Move(entry.flow.id()));
    deferredOutcomes.add(new DeferredOutcome(entry, Outcome.CANCELLED, true));
  }

  private void applyList(TargetList list, Balancer.ListKind kind) {
    List<Balancer.ServerEntry> entries = targetGroup.apply(list, kind, responseDelays::forget);
    if (subset != null) {
      module.assignServers(nowMicros, subset.select(targetGroup.peers()));
    }
    module.updateServers(nowMicros, kind, entries);
  }

  /** Turns the module's actions into decisions, checked against the table of open flows. */
  private final class ActionCollector implements Balancer.Actions {
    @Override
    public void send(long id, String server, long abandonAt) {
      FlowEntry entry = flows.get(id);
      Target target = targetGroup.get(server);
      if (entry == null || entry.stage != FlowEntry.Stage.PENDING || target == null) {
        throw new IllegalStateException("the module may not forward flow " + id + " to " + server);
      }
      forward(
          entry,
          target,
          abandonAt > 0 ? Math.min(abandonAt, entry.deadlineMicros) : entry.deadlineMicros);
    }

    @Override
    public void refuse(long id, long retryAfter) {
      if (closeUnanswered(id)) {
        long millis = (retryAfter + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
        decisions.add(new Decision.FixedResponse(id, Math.max(millis, retryAfterMillis())));
      }
    }

    @Override
    public void fail(long id) {
      if (closeUnanswered(id)) {
        decisions.add(new Decision.Fail(id));
      }
    }

    private boolean closeUnanswered(long id) {
      FlowEntry entry = flows.get(id);
      if (entry == null || entry.stage == FlowEntry.Stage.ESTABLISHED) {
        return false;
      }
      flows.remove(entry);
      if (entry.stage == FlowEntry.Stage.FORWARDED) {
        decisions.add(new Decision.Cancel(id));
        deferredOutcomes.add(new DeferredOutcome(entry, Outcome.CANCELLED, true));
      }
      return true;
    }

    @Override
    public void cancel(long id, int attempt) {
      FlowEntry entry = flows.get(id);
      if (entry != null
          && entry.stage == FlowEntry.Stage.FORWARDED
          && entry.forwardCount == attempt + 1) {
        entry.stage = FlowEntry.Stage.PENDING;
        decisions.add(new Decision.Cancel(id));
        deferredOutcomes.add(new DeferredOutcome(entry, Outcome.CANCELLED, false));
      }
    }

    @Override
    public void move(long id) {
      FlowEntry entry = flows.getEstablished(id);
      if (entry != null) {
        LOG.info("connection-moved", flow(id), target(entry.target.name()));
        Decider.this.move(entry);
      }
    }

    @Override
    public void startTimer(long delayMicros, long token) {
      timers.schedule(nowMicros + delayMicros, TimerQueue.Kind.MODULE, token);
    }

    @Override
    public void probe(String server) {
      Target target = targetGroup.get(server);
      if (target != null) {
        decisions.add(new Decision.Probe(target));
      }
    }

    @Override
    public void watchDiscovery(boolean enabled) {
      decisions.add(new Decision.Watch(enabled));
    }

    @Override
    public void fetchServers() {
      decisions.add(new Decision.Fetch());
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
      throw new UnsupportedOperationException("the module may not send messages to other proxies");
    }

    @Override
    public void log(String text) {
      LOG.info("module-note", value("text", text));
    }
  }
}
