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
 * The facade in front of the decision module, in blocking style: each call returns what is to be
 * done. It owns the module, its timers, the clock and the ledger of flows, and keeps for them that
 * a flow has one final answer, a forward one outcome, no two forwards are out, and nothing follows
 * the end. It is called from one thread; it never calls out.
 */
public final class Decider {
  private static final Log LOG = Log.of("decide");

  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;

  /**
   * A standing connection whose target leaves a client's line unanswered for this long is moved.
   * The contract asks for it within 7 s of the line; TCP never tells of a silent machine.
   */
  private static final long UNANSWERED_LIMIT = 4_500 * MILLI;

  /** Pause before an open connection's own target is tried again after it could not be reached. */
  private static final long REJOIN_PAUSE = 300 * MILLI;

  /** An outcome that the module is still to be told. */
  private record Owed(Entry entry, Outcome ending, boolean closed) {}

  private Balancer.Settings settings;
  private final FlowClock clock;
  private final Balancer module;
  private final Ledger ledger = new Ledger();
  private final TargetGroup group;
  private final Predecessors predecessors;
  private final Delays delays = new Delays();
  private final Alarms alarms = new Alarms();
  private final ArrayDeque<Owed> owed = new ArrayDeque<>();
  private List<Decision> out = new ArrayList<>();
  private long now;
  private final Lifecycle lifecycle = new Lifecycle();
  private boolean hasTargetList;
  private long newFlowCount;

  /** Null where all targets are this proxy's to ask. */
  private Subset subset;

  /** Starts the module with the list that this proxy last had. */
  public Decider(Balancer.Settings settings, long seed, TargetList known, FlowClock clock) {
    this.clock = clock;
    this.group = new TargetGroup(clock);
    this.now = clock.now();
    this.module = new Policy(now, settings, seed, new Collector());
    this.predecessors = new Predecessors(module);
    settings(settings);
    list(known, Balancer.ListKind.CACHED);
  }

  private void settings(Balancer.Settings changed) {
    settings = changed;
    delays.configure(changed);
  }

  // ------------------------------------------------------------- the facade

  /** A flow has come in; what is decided on it comes back, a {@code Hold} if nothing is yet. */
  public List<Decision> pick(Flow flow) {
    now = clock.now();
    Balancer.require(ledger.get(flow.id()) == null, "flow " + flow.id() + " is known");
    if (lifecycle.refusesClients(now)) {
      return List.of(new Decision.FixedResponse(flow.id(), retryMillis()));
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
    Entry entry = new Entry(flow, request, now + request.timeLeftMicros(), settings);
    ledger.enter(entry);
    alarms.set(
        entry.deadline + settings.safetyRules().answerSlackMicros(),
        Alarms.Kind.ANSWER_DUE,
        flow.id());
    if (flow.resumeTarget() != null) {
      rejoin(entry);
    } else {
      module.requestReceived(now, request);
    }
    if (ledger.get(flow.id()) == entry && entry.stage == Entry.Stage.HELD) {
      out.add(new Decision.Hold(flow.id()));
    }
    return decided();
  }

  /** Something has happened; what is decided on it comes back. */
  public List<Decision> report(NetworkEvent happening) {
    now = clock.now();
    if (happening instanceof NetworkEvent.FlowEstablished up) {
      up(up.flow());
    } else if (happening instanceof NetworkEvent.LoadReported load) {
      Entry entry = ledger.standing(load.flow());
      if (entry != null) {
        entry.load = load.load();
        note(entry, Balancer.MeasurementKind.LOAD, load.load());
      }
    } else if (happening instanceof NetworkEvent.RequestRelayed asked) {
      asked(ledger.standing(asked.flow()));
    } else if (happening instanceof NetworkEvent.ResponseRelayed answered) {
      answered(ledger.standing(answered.flow()));
    } else if (happening instanceof NetworkEvent.ForwardEnded ended) {
      ended(ended);
    } else if (happening instanceof NetworkEvent.ClientDisconnected left) {
      left(left.flow());
    } else if (happening instanceof NetworkEvent.ProbeCompleted probed) {
      module.probeCompleted(
          now, probed.target(), probed.outcome().status, probed.elapsedMicros(), probed.report());
    } else if (happening instanceof NetworkEvent.TargetsListed listed) {
      this.hasTargetList = true;
      list(
          listed.list(),
          listed.list().isSnapshot() ? Balancer.ListKind.FULL : Balancer.ListKind.DELTA);
    } else if (happening instanceof NetworkEvent.FetchFailed) {
      module.updateServers(now, Balancer.ListKind.FAILED, List.of());
    } else if (happening instanceof NetworkEvent.SettingsChanged configured) {
      settings(configured.settings());
      module.updateSettings(now, settings);
    } else if (happening instanceof NetworkEvent.StopRequested stopping) {
      leave(lifecycle.stop(now, stopping.deadlineMicros()));
    } else if (happening instanceof NetworkEvent.StandbyRequested) {
      leave(lifecycle.handle(Event.STANDBY, now));
    } else if (happening instanceof NetworkEvent.ActivationRequested) {
      lifecycle.handle(Event.ACTIVE, now);
    } else if (happening instanceof NetworkEvent.PredecessorReported predecessor) {
      if (!hasTargetList && !predecessor.targets().isEmpty()) {
        // Its list is newer than the one that this process was started with.
        list(new TargetList(0, true, predecessor.targets()), Balancer.ListKind.CACHED);
      }
      predecessors.holds(now, settings, predecessor.processId(), predecessor.connections());
    } else if (happening instanceof NetworkEvent.SuccessorChanged succeeded) {
      lifecycle.setSuccessorPresent(succeeded.isPresent());
    } else if (happening instanceof NetworkEvent.BudgetShareChanged shared) {
      module.updateBudgetShare(
          now,
          new Balancer.BudgetShare(
              shared.share(),
              shared.baseShare(),
              shared.rank(),
              shared.participants(),
              clock.ofNanos(shared.untilNanos())));
    } else if (happening instanceof NetworkEvent.ServingStarted) {
      lifecycle.handle(Event.SERVING, now);
    } else if (happening instanceof NetworkEvent.SubsetChanged peers) {
      subset = peers.subset();
      module.assignServers(now, subset == null ? null : subset.select(group.peers()));
    }
    return decided();
  }

  /** Does what is due at {@code at}, a time of the facade's clock. */
  public List<Decision> tick(long at) {
    now = Math.max(now, at);
    for (Alarms.Alarm due = alarms.due(now); due != null; due = alarms.due(now)) {
      ring(due);
    }
    return decided();
  }

  /** When {@link #tick} is next due, or Long.MAX_VALUE. */
  public long nextTick() {
    return alarms.next();
  }

  /** Flows without a final answer, and standing connections. */
  public int openFlowCount() {
    return ledger.size();
  }

  /** Flows that have come in so far, to be served for the first time. */
  public long newFlowCount() {
    return newFlowCount;
  }

  /** Whether clients are taken: none is before any target is known. */
  public boolean admitsClients() {
    return lifecycle.admitsClients() && !group.isEmpty();
  }

  /** Whether any target is known, so that clients could be served. */
  public boolean hasTargets() {
    return !group.isEmpty();
  }

  /** Whether the whole list has come from discovery, so that what is known is no old one. */
  public boolean hasTargetList() {
    return hasTargetList;
  }

  /** Whether the clients are to go elsewhere. */
  public boolean isLeaving() {
    return lifecycle.state().isLeaving();
  }

  /** What the proxy is now. */
  public State state() {
    return lifecycle.state();
  }

  /** What the module holds itself to now, as plain values. */
  public LimitsSnapshot limits() {
    return module.limits();
  }

  private List<Decision> decided() {
    // What the module itself ended: its outcome must not reach the module within its own call.
    while (!owed.isEmpty()) {
      Owed next = owed.remove();
      outcome(next.entry(), next.ending(), next.closed());
    }
    if (out.isEmpty()) {
      // Most lines change nothing: they cost no list either.
      return List.of();
    }
    List<Decision> decided = out;
    out = new ArrayList<>();
    return decided;
  }

  // ------------------------------------------------------------ life of a flow

  private void up(long flow) {
    Entry entry = ledger.get(flow);
    if (entry == null || entry.stage != Entry.Stage.OUT) {
      return;
    }
    entry.stage = Entry.Stage.UP;
    if (entry.flow.resumeTarget() != null) {
      module.connectionResumed(now, entry.request, entry.target.name());
    } else {
      module.connectionAccepted(
          now, flow, entry.forwards - 1, entry.target.name(), now - entry.sentAt);
    }
  }

  private void ended(NetworkEvent.ForwardEnded ended) {
    Entry entry = ledger.get(ended.flow());
    if (entry == null || entry.stage == Entry.Stage.HELD) {
      return;
    }
    if (entry.stage == Entry.Stage.UP) {
      if (ended.outcome() == Outcome.RESET) {
        LOG.info("connection-broken", flow(entry.flow.id()), target(entry.target.name()));
      }
      ledger.close(entry);
      outcome(entry, ended.outcome(), true);
    } else {
      LOG.info(
          "forward-ended",
          flow(entry.flow.id()),
          target(entry.target.name()),
          value("ending", ended.outcome()));
      entry.stage = Entry.Stage.HELD;
      outcome(entry, ended.outcome(), false);
    }
  }

  private void left(long flow) {
    Entry entry = ledger.get(flow);
    if (entry == null) {
      return;
    }
    ledger.close(entry);
    if (entry.stage == Entry.Stage.UP) {
      outcome(entry, Outcome.CANCELLED, true);
      return;
    }
    if (entry.flow.resumeTarget() == null) {
      module.requestWithdrawn(now, flow);
    }
    if (entry.stage == Entry.Stage.OUT) {
      out.add(new Decision.Cancel(flow));
      outcome(entry, Outcome.CANCELLED, true);
    }
  }

  /** The one place where a forward's outcome reaches the module. */
  private void outcome(Entry entry, Outcome ending, boolean closed) {
    if (entry.flow.resumeTarget() != null && entry.stage != Entry.Stage.UP) {
      if (!closed) {
        retryRejoin(entry, ending);
      }
      return;
    }
    if (!ending.status.neverRan) {
      entry.mayHaveRun();
    }
    module.attemptEnded(
        now,
        new Balancer.Outcome(
            entry.flow.id(),
            entry.attempt(),
            entry.target.name(),
            ending.status,
            now - entry.sentAt,
            closed,
            List.of()));
  }

  private void forward(Entry entry, Target target, long until) {
    entry.stage = Entry.Stage.OUT;
    entry.forwards++;
    entry.target = target;
    entry.sentAt = now;
    alarms.set(until, Alarms.Kind.FORWARD_DUE, entry.flow.id(), entry.forwards);
    out.add(new Decision.Forward(entry.flow.id(), target, until, entry.sendBy()));
  }

  // --------------------------- connections that were open before this proxy

  /** Goes to the connection's own target; the module hears of it once it stands again. */
  private void rejoin(Entry entry) {
    Target target = group.get(entry.flow.resumeTarget());
    if (target != null) {
      forward(entry, target, entry.deadline);
    } else {
      alarms.set(now + REJOIN_PAUSE, Alarms.Kind.REJOIN, entry.flow.id());
    }
  }

  private void retryRejoin(Entry entry, Outcome ending) {
    boolean again =
        ending == Outcome.CONNECT_FAILED
            && now + REJOIN_PAUSE < entry.deadline
            && entry.forwards < entry.settings.permissions().maxAttempts();
    if (again) {
      alarms.set(now + REJOIN_PAUSE, Alarms.Kind.REJOIN, entry.flow.id());
    } else {
      ledger.close(entry);
      out.add(
          ending.status.neverRan
              ? new Decision.FixedResponse(entry.flow.id(), 0)
              : new Decision.Fail(entry.flow.id()));
    }
  }

  // --------------------------------------------------- lines and their delay

  private void asked(Entry entry) {
    if (entry != null && entry.askedAt == 0) {
      entry.askedAt = now;
      if (!entry.watched) {
        // One for each connection and not for each line: thousands a second would pile up here.
        entry.watched = true;
        alarms.set(now + UNANSWERED_LIMIT, Alarms.Kind.UNANSWERED, entry.flow.id());
      }
    }
  }

  private void answered(Entry entry) {
    if (entry == null || entry.askedAt == 0) {
      return;
    }
    double millis = (now - entry.askedAt) / (double) MILLI;
    entry.askedAt = 0;
    if (delays.tells(now, entry.target.name(), millis)) {
      note(entry, Balancer.MeasurementKind.DELAY, millis);
    }
  }

  private void note(Entry entry, Balancer.MeasurementKind kind, double value) {
    module.connectionMeasured(
        now, entry.flow.id(), entry.attempt(), entry.target.name(), kind, value);
  }

  // ------------------------------------------------------------------- alarms

  private void ring(Alarms.Alarm alarm) {
    if (alarm.kind() == Alarms.Kind.MODULE) {
      module.timerExpired(now, alarm.subject());
      return;
    }
    if (alarm.kind() == Alarms.Kind.LEAVE) {
      if (alarm.subject() == lifecycle.drainNumber()) {
        step();
      }
      return;
    }
    Entry entry = ledger.get(alarm.subject());
    if (entry == null) {
      return;
    }
    switch (alarm.kind()) {
      case FORWARD_DUE -> {
        if (entry.stage == Entry.Stage.OUT && entry.forwards == alarm.forward()) {
          LOG.info("forward-unanswered", flow(entry.flow.id()), target(entry.target.name()));
          entry.stage = Entry.Stage.HELD;
          out.add(new Decision.Cancel(entry.flow.id()));
          outcome(entry, Outcome.TIMED_OUT, false);
        }
      }
      case ANSWER_DUE -> {
        // Guards the one rule that no client may break for us: an answer before it gives up.
        if (entry.stage != Entry.Stage.UP) {
          LOG.warn("deadline-passed", flow(entry.flow.id()));
          giveUp(entry);
        }
      }
      case UNANSWERED -> {
        entry.watched = false;
        if (entry.stage == Entry.Stage.UP && entry.askedAt > 0) {
          if (now - entry.askedAt >= UNANSWERED_LIMIT) {
            LOG.info("connection-silent", flow(entry.flow.id()), target(entry.target.name()));
            ledger.close(entry);
            out.add(new Decision.Move(entry.flow.id()));
            outcome(entry, Outcome.RESET, true);
          } else {
            entry.watched = true;
            alarms.set(entry.askedAt + UNANSWERED_LIMIT, Alarms.Kind.UNANSWERED, entry.flow.id());
          }
        }
      }
      case REJOIN -> {
        if (entry.stage == Entry.Stage.HELD) {
          rejoin(entry);
        }
      }
      default -> throw new IllegalStateException("no such alarm: " + alarm.kind());
    }
  }

  /**
   * Answers a flow that is held no longer. The module says how: one whose forward may have run must
   * not be told that trying again is harmless, unless it is.
   */
  private void giveUp(Entry entry) {
    if (entry.flow.resumeTarget() == null) {
      module.answerNow(now, entry.flow.id());
    }
    if (ledger.get(entry.flow.id()) != entry) {
      return;
    }
    // A connection that was open before this proxy is none of the module's.
    ledger.close(entry);
    if (entry.stage == Entry.Stage.OUT) {
      out.add(new Decision.Cancel(entry.flow.id()));
      out.add(new Decision.Fail(entry.flow.id()));
    } else {
      out.add(new Decision.FixedResponse(entry.flow.id(), retryMillis()));
    }
  }

  /** Who leaves knows when its clients reach another proxy; else no better time is known. */
  private long retryMillis() {
    Balancer.Permissions limits = settings.permissions();
    return limits.retryAfter()
        ? Math.min(lifecycle.retryDelayMicros(now), limits.maxRetryAfterMicros()) / MILLI
        : 0;
  }

  /**
   * Whether a forward that was decided earlier may still be sent to its target: one that has begun
   * to leave while its connect was under way takes nothing new.
   */
  public boolean isServing(String target) {
    return group.serves(target);
  }

  /** The target group as discovery told it. */
  public List<TargetList.Entry> targets() {
    return group.told();
  }

  /** How many connections of predecessors the module is told of. */
  int predecessorConnectionCount() {
    return predecessors.counted();
  }

  /** The connections that stand here. */
  public List<EstablishedConnection> establishedConnections() {
    return ledger.standing();
  }

  // ---------------------------------------------------------------- departure

  private void leave(boolean begun) {
    if (begun) {
      DrainSchedule departure = lifecycle.drainSchedule();
      LOG.info(
          "departure-planned",
          value("state", lifecycle.state()),
          value("flows", ledger.size()),
          value("from_ms", departure.untilFirst(now, ledger.size()) / MILLI),
          value("to_ms", departure.untilEnd(now) / MILLI));
      alarms.set(now, Alarms.Kind.LEAVE, lifecycle.drainNumber());
    }
  }

  /**
   * Takes the departure one step on: clients are moved, and flows that wait are refused, when the
   * plan says so. What waits goes first, since nobody serves it here. A forward that is out may
   * still be answered until the end.
   */
  private void step() {
    List<Entry> going = ledger.toSendAway();
    DrainSchedule.Step step = lifecycle.step(now, going.size(), ledger.size());
    if (step == null) {
      return;
    }
    going.stream().limit(step.count()).forEach(this::sendAway);
    if (lifecycle.refusesClients(now)) {
      ledger.all().forEach(this::sendAway);
    }
    if (lifecycle.drainSchedule() == null) {
      LOG.info("drained");
    } else {
      alarms.set(step.next(), Alarms.Kind.LEAVE, lifecycle.drainNumber());
    }
  }

  private void sendAway(Entry entry) {
    if (entry.stage == Entry.Stage.UP) {
      moveAway(entry);
    } else {
      giveUp(entry);
    }
  }

  private void moveAway(Entry entry) {
    ledger.close(entry);
    out.add(new Decision.Move(entry.flow.id()));
    owed.add(new Owed(entry, Outcome.CANCELLED, true));
  }

  // ------------------------------------------------------------- target group

  private void list(TargetList list, Balancer.ListKind kind) {
    List<Balancer.ServerEntry> entries = group.take(list, kind, delays::forget);
    if (subset != null) {
      module.assignServers(now, subset.select(group.peers()));
    }
    module.updateServers(now, kind, entries);
  }

  /** Turns the module's actions into decisions, against the ledger. */
  private final class Collector implements Balancer.Actions {
    @Override
    public void send(long id, String server, long abandonAt) {
      Entry entry = ledger.get(id);
      Target target = group.get(server);
      if (entry == null || entry.stage != Entry.Stage.HELD || target == null) {
        throw new IllegalStateException("no forward of flow " + id + " to " + server + " may go");
      }
      forward(entry, target, abandonAt > 0 ? Math.min(abandonAt, entry.deadline) : entry.deadline);
    }

    @Override
    public void refuse(long id, long retryAfter) {
      if (answer(id)) {
        long millis = (retryAfter + MILLI - 1) / MILLI;
        out.add(new Decision.FixedResponse(id, Math.max(millis, retryMillis())));
      }
    }

    @Override
    public void fail(long id) {
      if (answer(id)) {
        out.add(new Decision.Fail(id));
      }
    }

    private boolean answer(long id) {
      Entry entry = ledger.get(id);
      if (entry == null || entry.stage == Entry.Stage.UP) {
        return false;
      }
      ledger.close(entry);
      if (entry.stage == Entry.Stage.OUT) {
        out.add(new Decision.Cancel(id));
        owed.add(new Owed(entry, Outcome.CANCELLED, true));
      }
      return true;
    }

    @Override
    public void cancel(long id, int attempt) {
      Entry entry = ledger.get(id);
      if (entry != null && entry.stage == Entry.Stage.OUT && entry.forwards == attempt + 1) {
        entry.stage = Entry.Stage.HELD;
        out.add(new Decision.Cancel(id));
        owed.add(new Owed(entry, Outcome.CANCELLED, false));
      }
    }

    @Override
    public void move(long id) {
      Entry entry = ledger.standing(id);
      if (entry != null) {
        LOG.info("connection-moved", flow(id), target(entry.target.name()));
        moveAway(entry);
      }
    }

    @Override
    public void startTimer(long delay, long token) {
      alarms.set(now + delay, Alarms.Kind.MODULE, token);
    }

    @Override
    public void probe(String server) {
      Target target = group.get(server);
      if (target != null) {
        out.add(new Decision.Probe(target));
      }
    }

    @Override
    public void watchDiscovery(boolean on) {
      out.add(new Decision.Watch(on));
    }

    @Override
    public void fetchServers() {
      out.add(new Decision.Fetch());
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
      throw new UnsupportedOperationException("proxies have no way to talk to each other");
    }

    @Override
    public void log(String text) {
      LOG.info("module-note", value("text", text));
    }
  }
}
