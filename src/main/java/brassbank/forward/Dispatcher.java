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
 * Where decisions meet the network: hands the facade what fronts, targets and discovery bring, and
 * carries out what it returns. Everything here runs on the selector thread.
 */
public final class Dispatcher {
  private static final Log LOG = Log.of("dispatcher");
  private static final long MILLI = 1_000;

  /** What keeps the target group up to date. */
  public interface TargetSource {
    void watch(boolean on);

    void fetch();
  }

  private final Decider decider;
  private final FlowClock clock;
  private final Net net;
  private final Relay relay;
  private long connectMicros;
  private final Prober prober;
  private final Map<Long, Session> sessions = new HashMap<>();
  private final Deque<Decision> todo = new ArrayDeque<>();
  private boolean carrying;

  /** Flows that hold a client's descriptor and will need a target's. */
  private int flowsAwaitingTarget;

  private TargetSource group;
  private EventLoop.Timer timer;
  private long armedFor = Long.MAX_VALUE;

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

  /** Begins with what the facade decided when it was made. */
  public void start(TargetSource targetGroup) {
    group = targetGroup;
    tick();
  }

  /** The settings have changed; what is under way goes on by the old ones. */
  public void configure(
      Balancer.Settings settings, long connect, long idle, List<String> reportFields) {
    connectMicros = connect;
    prober.settings(connect, idle, reportFields);
    report(new NetworkEvent.SettingsChanged(settings));
  }

  /** Whether clients are taken. */
  public boolean admitsClients() {
    return decider.admitsClients();
  }

  /** Whether the clients are to go elsewhere. */
  public boolean isLeaving() {
    return decider.isLeaving();
  }

  /** How many flows will need a target's descriptor, and do not hold it yet. */
  public int flowsAwaitingTarget() {
    return flowsAwaitingTarget;
  }

  /** A front's new flow; the client is told its answer. */
  public void submit(Flow flow, Client client) {
    if (net.isAtCapacity(flowsAwaitingTarget)) {
      // Without a descriptor there is nothing to decide: refused while there is room to say so.
      // Flows that wait count with the target's descriptor that each of them will need: where all
      // targets failed for a while, those that had been taken met the limit together afterwards.
      client.refuse(0);
      return;
    }
    Session session = new Session(flow, client);
    sessions.put(flow.id(), session);
    session.waits(true);
    decide(() -> decider.pick(flow));
  }

  /** A client has left before it had its answer. */
  public void clientDisconnected(long flow) {
    Session session = over(flow);
    if (session != null && session.forward != null) {
      session.forward.cancel();
    }
    report(new NetworkEvent.ClientDisconnected(flow));
  }

  /** The one place where a flow's session ends; null where it has ended before. */
  private Session over(long flow) {
    Session session = sessions.remove(flow);
    if (session != null) {
      session.waits(false);
    }
    return session;
  }

  /** Tells the facade what has happened, which is twice for each line that is answered. */
  public void report(NetworkEvent happening) {
    List<Decision> decided = List.of();
    try {
      decided = decider.report(happening);
    } catch (RuntimeException e) {
      LOG.error("decision-failed", e);
    }
    carryOut(decided);
  }

  private void probed(Target target, Outcome ending, long elapsedMicros, List<Double> report) {
    report(new NetworkEvent.ProbeCompleted(target.name(), ending, elapsedMicros, report));
  }

  private void tick() {
    timer = null;
    armedFor = Long.MAX_VALUE;
    decide(() -> decider.tick(clock.now()));
  }

  private void decide(Supplier<List<Decision>> call) {
    List<Decision> decided = List.of();
    try {
      decided = call.get();
    } catch (RuntimeException e) {
      LOG.error("decision-failed", e);
    }
    carryOut(decided);
  }

  /** Carrying a decision out may bring news at once: what follows from it waits for its turn. */
  private void carryOut(List<Decision> decided) {
    if (!decided.isEmpty()) {
      todo.addAll(decided);
    }
    if (carrying) {
      return;
    }
    carrying = true;
    try {
      for (Decision next = todo.poll(); next != null; next = todo.poll()) {
        Decision decision = next;
        EventLoop.runGuarded(() -> carryOut(decision));
      }
    } finally {
      carrying = false;
      arm();
    }
  }

  private void arm() {
    long due = decider.nextTick();
    if (due < armedFor) {
      if (timer != null) {
        timer.cancel();
      }
      armedFor = due;
      timer = net.loop().schedule(due - clock.now(), this::tick);
    }
  }

  /** A decision on a flow whose client has left meanwhile finds no session and is void. */
  private void carryOut(Decision decision) {
    if (decision instanceof Decision.Forward forward) {
      Session session = sessions.get(forward.flow());
      if (session != null) {
        session.forward(forward);
      }
    } else if (decision instanceof Decision.Cancel cancel) {
      Session session = sessions.get(cancel.flow());
      if (session != null) {
        session.forward.cancel();
        session.waits(true);
      }
    } else if (decision instanceof Decision.FixedResponse fixed) {
      Session session = over(fixed.flow());
      if (session != null) {
        session.client.refuse(fixed.retryMillis());
      }
    } else if (decision instanceof Decision.Fail fail) {
      Session session = over(fail.flow());
      if (session != null) {
        session.client.fail();
      }
    } else if (decision instanceof Decision.Move move) {
      Session session = over(move.flow());
      if (session != null) {
        // The flow's id is free once its connection has ended, and no sooner.
        session.pair.sendFinalLine(session.client.farewellLine(), session.client::flowEnded);
      }
    } else if (decision instanceof Decision.Probe probe) {
      prober.probe(probe.target());
    } else if (decision instanceof Decision.Watch watch) {
      group.watch(watch.on());
    } else if (decision instanceof Decision.Fetch) {
      group.fetch();
    }
  }

  /** One flow, from its first line to its final answer or to the end of its connection. */
  private final class Session implements Forward.Listener, SessionObserver {
    private final long flow;
    private final String practice;
    private final Client client;

    /** It was open before this proxy: it goes back to its own target, even while that leaves. */
    private final boolean resumed;

    /** The attempt that is out, or was last; gone once the connection stands. */
    private Forward forward;

    private String target;
    private RelayedSession pair;
    private boolean waits;

    /** Told again and again, from the first line on. */
    private NetworkEvent.RequestRelayed asked;

    private NetworkEvent.ResponseRelayed answered;

    /** How the connection has ended if the target ends it now: its last line may say. */
    private Outcome ending = Outcome.RESET;

    Session(Flow opened, Client client) {
      this.flow = opened.id();
      this.practice = opened.tenant();
      this.client = client;
      this.resumed = opened.resumeTarget() != null;
    }

    /** Whether it waits for a target, so that its second descriptor is still to come. */
    void waits(boolean now) {
      if (now != waits) {
        waits = now;
        flowsAwaitingTarget += now ? 1 : -1;
      }
    }

    void forward(Decision.Forward decided) {
      waits(false);
      target = decided.target().name();
      forward = new Forward(net, flow, decided.target(), () -> opening(decided), this);
      // A connect that is given up with its forward never came up: that is told just before.
      long left = Math.min(decided.until() - MILLI, decided.sendBy()) - clock.now();
      forward.start(Math.min(connectMicros, Math.max(0, left)));
    }

    /** The first line, or null where it must not be sent any longer. */
    private String opening(Decision.Forward decided) {
      long now = clock.now();
      boolean late = now > decided.sendBy() || !(resumed || decider.isServing(target));
      return late ? null : client.openingLine(Math.max(0, (decided.until() - now) / MILLI));
    }

    @Override
    public void up(String line, Link targetLink) {
      forward = null;
      pair = relay.openSession(flow, practice, client.establish(line), targetLink, this);
      report(new NetworkEvent.FlowEstablished(flow));
      pair.start();
    }

    @Override
    public void ended(Outcome how) {
      waits(true);
      report(new NetworkEvent.ForwardEnded(flow, how));
    }

    @Override
    public void requestRelayed() {
      if (asked == null) {
        asked = new NetworkEvent.RequestRelayed(flow);
        answered = new NetworkEvent.ResponseRelayed(asked.flow());
      }
      report(asked);
    }

    @Override
    public void responseRelayed() {
      report(answered);
    }

    @Override
    public void byeReceived() {
      ending = Outcome.SERVED;
    }

    @Override
    public void moveReceived() {
      ending = Outcome.CANCELLED;
    }

    @Override
    public String slowPeerDisconnected(Side side, DisconnectDecision.Reason reason) {
      if (over(flow) != null) {
        client.flowEnded();
      }
      // A client that is too slow is no news of its target; a target that does not read is.
      report(
          side == Side.CLIENT
              ? new NetworkEvent.ClientDisconnected(flow)
              : new NetworkEvent.ForwardEnded(flow, Outcome.TIMED_OUT));
      return client.farewellLine();
    }

    @Override
    public void loadReported(String text) {
      try {
        report(new NetworkEvent.LoadReported(flow, LoadReport.number(text)));
      } catch (IllegalArgumentException e) {
        LOG.warn("load-bad", flow(flow), target(target), value("text", text));
      }
    }

    @Override
    public void ended(boolean byClient, boolean reset) {
      if (over(flow) != null) {
        client.flowEnded();
      }
      if (byClient && ending == Outcome.RESET) {
        report(new NetworkEvent.ClientDisconnected(flow));
      } else {
        report(new NetworkEvent.ForwardEnded(flow, ending));
      }
    }
  }
}
