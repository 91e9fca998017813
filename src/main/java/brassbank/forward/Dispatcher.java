package brassbank.forward;

import static brassbank.log.Field.flow;
import static brassbank.log.Field.target;
import static brassbank.log.Field.value;

import ashspar.Balancer;
import brassbank.decide.Decider;
import brassbank.decide.Decision;
import brassbank.decide.Flow;
import brassbank.decide.FlowClock;
import brassbank.decide.NetworkEvent;
import brassbank.decide.Outcome;
import brassbank.decide.Target;
import brassbank.log.Log;
import brassbank.net.EventLoop;
import brassbank.net.Link;
import brassbank.net.Net;
import brassbank.relay.Relay;
import brassbank.relay.RelayedSession;
import brassbank.relay.SessionObserver;
import brassbank.relay.limits.DisconnectDecision;
import brassbank.relay.limits.Side;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Connects the facade to the network: reports events from clients, targets and discovery to the
 * facade, and carries out the decisions that it returns. Runs on the event loop.
 */
public final class Dispatcher {
  private static final Log LOG = Log.of("dispatcher");
  private static final long MICROS_PER_MILLI = 1_000;

  /** Supplies target lists, which it reports to the dispatcher as events. */
  public interface TargetSource {
    /** Starts or stops watching the target group for changes. */
    void watch(boolean enabled);

    /** Fetches the whole target list once. */
    void fetch();
  }

  private final Decider decider;
  private final FlowClock clock;
  private final Net net;
  private final Relay relay;
  private long connectMicros;
  private final Prober prober;
  private final Map<Long, Session> sessions = new HashMap<>();
  private final Deque<Decision> pendingDecisions = new ArrayDeque<>();
  private boolean isExecuting;

  /** Flows that hold a client's descriptor and will need one for a target. */
  private int flowsAwaitingTarget;

  private TargetSource targetSource;
  private EventLoop.Timer timer;

  /** When the timer is due, Long.MAX_VALUE if there is none. */
  private long armedForMicros = Long.MAX_VALUE;

  public Dispatcher(
      Decider decider,
      FlowClock clock,
      Net net,
      Relay relay,
      long connectMicros,
      long idleMicros,
      List<String> reportFields) {
    this.decider = decider;
    this.clock = clock;
    this.net = net;
    this.relay = relay;
    this.connectMicros = connectMicros;
    this.prober = new Prober(net, connectMicros, idleMicros, reportFields, this::probed);
  }

  /** Carries out the decisions that the facade made at its creation. */
  public void start(TargetSource targetSource) {
    this.targetSource = targetSource;
    tick();
  }

  /** Applies changed settings; forwards and probes in progress continue under the old ones. */
  public void configure(
      Balancer.Settings settings, long connectMicros, long idleMicros, List<String> reportFields) {
    this.connectMicros = connectMicros;
    prober.configure(connectMicros, idleMicros, reportFields);
    report(new NetworkEvent.SettingsChanged(settings));
  }

  /** Whether clients are admitted. */
  public boolean admitsClients() {
    return decider.admitsClients();
  }

  /** Whether the proxy is moving its clients away or has done so. */
  public boolean isLeaving() {
    return decider.isLeaving();
  }

  /** Returns how many flows will need a descriptor for a target and do not hold it yet. */
  public int flowsAwaitingTarget() {
    return flowsAwaitingTarget;
  }

  /** Submits a new flow, whose answer is passed to the client. */
  public void submit(Flow flow, Client client) {
    if (net.isAtCapacity(flowsAwaitingTarget)) {
      // Without a descriptor for a target the flow cannot be forwarded, so it is refused while one
      // is left to answer with. Each waiting flow counts with the descriptor that it will need;
      // otherwise flows accepted while all targets fail hit the limit together afterwards.
      client.refuse(0);
      return;
    }
    Session session = new Session(flow, client);
    sessions.put(flow.id(), session);
    session.setAwaitingTarget(true);
    decide(() -> decider.pick(flow));
  }

  /** Withdraws a flow whose client has disconnected before its answer. */
  public void clientDisconnected(long flow) {
    Session session = removeSession(flow);
    if (session != null && session.forward != null) {
      session.forward.cancel();
    }
    report(new NetworkEvent.ClientDisconnected(flow));
  }

  /** Removes and returns a flow's session, or returns null if it has already ended. */
  private Session removeSession(long flow) {
    Session session = sessions.remove(flow);
    if (session != null) {
      session.setAwaitingTarget(false);
    }
    return session;
  }

  /**
   * Reports an event to the facade and carries out its decisions. Called twice for each relayed
   * line that is answered, and therefore without allocating a lambda for {@link #decide}.
   */
  public void report(NetworkEvent event) {
    List<Decision> decided = List.of();
    try {
      decided = decider.report(event);
    } catch (RuntimeException e) {
      LOG.error("decision-failed", e);
    }
    execute(decided);
  }

  private void probed(Target target, Outcome outcome, long elapsedMicros, List<Double> report) {
    report(new NetworkEvent.ProbeCompleted(target.name(), outcome, elapsedMicros, report));
  }

  private void tick() {
    timer = null;
    armedForMicros = Long.MAX_VALUE;
    decide(() -> decider.tick(clock.now()));
  }

  private void decide(Supplier<List<Decision>> call) {
    List<Decision> decided = List.of();
    try {
      decided = call.get();
    } catch (RuntimeException e) {
      LOG.error("decision-failed", e);
    }
    execute(decided);
  }

  /**
   * Carries out decisions in order. Carrying one out may report further events at once; the
   * decisions on those are queued behind the current ones.
   */
  private void execute(List<Decision> decided) {
    if (!decided.isEmpty()) {
      pendingDecisions.addAll(decided);
    }
    if (isExecuting) {
      return;
    }
    isExecuting = true;
    try {
      for (Decision next = pendingDecisions.poll(); next != null; next = pendingDecisions.poll()) {
        Decision decision = next;
        EventLoop.runGuarded(() -> execute(decision));
      }
    } finally {
      isExecuting = false;
      armTimer();
    }
  }

  private void armTimer() {
    long due = decider.nextTick();
    if (due < armedForMicros) {
      if (timer != null) {
        timer.cancel();
      }
      armedForMicros = due;
      timer = net.loop().schedule(due - clock.now(), this::tick);
    }
  }

  /** Carries out one decision, which is void if the flow's session has ended meanwhile. */
  private void execute(Decision decision) {
    if (decision instanceof Decision.Forward forward) {
      Session session = sessions.get(forward.flow());
      if (session != null) {
        session.forward(forward);
      }
    } else if (decision instanceof Decision.Cancel cancel) {
      Session session = sessions.get(cancel.flow());
      if (session != null) {
        session.forward.cancel();
        session.setAwaitingTarget(true);
      }
    } else if (decision instanceof Decision.FixedResponse fixed) {
      Session session = removeSession(fixed.flow());
      if (session != null) {
        session.client.refuse(fixed.retryAfterMillis());
      }
    } else if (decision instanceof Decision.Fail fail) {
      Session session = removeSession(fail.flow());
      if (session != null) {
        session.client.fail();
      }
    } else if (decision instanceof Decision.Move move) {
      Session session = removeSession(move.flow());
      if (session != null) {
        // The client's flow id becomes free only once its connection has ended.
        session.relayed.sendFinalLine(session.client.farewellLine(), session.client::flowEnded);
      }
    } else if (decision instanceof Decision.Probe probe) {
      prober.probe(probe.target());
    } else if (decision instanceof Decision.Watch watch) {
      targetSource.watch(watch.enabled());
    } else if (decision instanceof Decision.Fetch) {
      targetSource.fetch();
    }
  }

  /** One flow, from its submission to its final answer or to the end of its connection. */
  private final class Session implements Forward.Listener, SessionObserver {
    private final long flow;
    private final String practice;
    private final Client client;

    /**
     * Whether the connection is from before this proxy's start. It returns to its own target, even
     * if that is draining.
     */
    private final boolean isResumed;

    /** The outstanding or last forward; null once the connection is established. */
    private Forward forward;

    private String target;
    private RelayedSession relayed;
    private boolean isAwaitingTarget;

    /** The events for relayed lines, created with the first line and reused for every other. */
    private NetworkEvent.RequestRelayed requestEvent;

    private NetworkEvent.ResponseRelayed responseEvent;

    /** The events for pauses of the target's link, created with the first pause and reused. */
    private NetworkEvent.TargetReadPaused pauseEvent;

    private NetworkEvent.TargetReadResumed resumeEvent;

    /** The outcome if the target closes the connection now, as its last line announced it. */
    private Outcome closeOutcome = Outcome.RESET;

    Session(Flow submitted, Client client) {
      this.flow = submitted.id();
      this.practice = submitted.tenant();
      this.client = client;
      this.isResumed = submitted.resumeTarget() != null;
    }

    /** Records whether the flow awaits a target and will need a descriptor for it. */
    void setAwaitingTarget(boolean isAwaiting) {
      if (isAwaiting != isAwaitingTarget) {
        isAwaitingTarget = isAwaiting;
        flowsAwaitingTarget += isAwaiting ? 1 : -1;
      }
    }

    void forward(Decision.Forward decided) {
      setAwaitingTarget(false);
      target = decided.target().name();
      forward = new Forward(net, flow, decided.target(), () -> openingLine(decided), this);
      // The connect times out 1 ms before the forward. The outcome is then a failed connect, which
      // proves that the attempt never ran, and not a time-out.
      long remainingMicros =
          Math.min(decided.answerDeadlineMicros() - MICROS_PER_MILLI, decided.sendDeadlineMicros())
              - clock.now();
      forward.start(Math.min(connectMicros, Math.max(0, remainingMicros)));
    }

    /** Returns the first line for the target, or null if it must no longer be sent. */
    private String openingLine(Decision.Forward decided) {
      long now = clock.now();
      boolean isTooLate =
          now > decided.sendDeadlineMicros() || !(isResumed || decider.isServing(target));
      return isTooLate
          ? null
          : client.openingLine(
              Math.max(0, (decided.answerDeadlineMicros() - now) / MICROS_PER_MILLI));
    }

    @Override
    public void established(String line, Link targetLink) {
      forward = null;
      relayed = relay.openSession(flow, practice, client.establish(line), targetLink, this);
      report(new NetworkEvent.FlowEstablished(flow));
      relayed.start();
    }

    @Override
    public void ended(Outcome outcome) {
      setAwaitingTarget(true);
      report(new NetworkEvent.ForwardEnded(flow, outcome));
    }

    @Override
    public void requestRelayed() {
      if (requestEvent == null) {
        requestEvent = new NetworkEvent.RequestRelayed(flow);
        responseEvent = new NetworkEvent.ResponseRelayed(requestEvent.flow());
      }
      report(requestEvent);
    }

    @Override
    public void responseRelayed() {
      report(responseEvent);
    }

    @Override
    public void targetReadPaused() {
      if (pauseEvent == null) {
        pauseEvent = new NetworkEvent.TargetReadPaused(flow);
        resumeEvent = new NetworkEvent.TargetReadResumed(pauseEvent.flow());
      }
      report(pauseEvent);
    }

    @Override
    public void targetReadResumed() {
      report(resumeEvent);
    }

    @Override
    public void byeReceived() {
      closeOutcome = Outcome.SERVED;
    }

    @Override
    public void moveReceived() {
      closeOutcome = Outcome.CANCELLED;
    }

    @Override
    public String slowPeerDisconnected(Side side, DisconnectDecision.Reason reason) {
      if (removeSession(flow) != null) {
        client.flowEnded();
      }
      // A client that is too slow says nothing about its target; a target that does not read does.
      report(
          side == Side.CLIENT
              ? new NetworkEvent.ClientDisconnected(flow)
              : new NetworkEvent.ForwardEnded(flow, Outcome.TIMED_OUT));
      return client.farewellLine();
    }

    @Override
    public void loadReported(String text) {
      try {
        report(new NetworkEvent.LoadReported(flow, LoadReport.parseValue(text)));
      } catch (IllegalArgumentException e) {
        LOG.warn("load-bad", flow(flow), target(target), value("text", text));
      }
    }

    @Override
    public void ended(boolean byClient, boolean reset) {
      if (removeSession(flow) != null) {
        client.flowEnded();
      }
      if (byClient && closeOutcome == Outcome.RESET) {
        report(new NetworkEvent.ClientDisconnected(flow));
      } else {
        report(new NetworkEvent.ForwardEnded(flow, closeOutcome));
      }
    }
  }
}
