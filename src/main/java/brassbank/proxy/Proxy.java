package brassbank.proxy;

import static brassbank.log.Field.value;

import ashspar.Balancer;
import brassbank.config.Config;
import brassbank.decide.Decider;
import brassbank.decide.FlowClock;
import brassbank.decide.NetworkEvent;
import brassbank.discovery.Discovery;
import brassbank.fleet.Fleet;
import brassbank.forward.Dispatcher;
import brassbank.front.ClientFrontend;
import brassbank.handover.DescriptorShare;
import brassbank.handover.HandoverState;
import brassbank.lifecycle.State;
import brassbank.log.Log;
import brassbank.management.ManagementServer;
import brassbank.membership.MembershipConfig;
import brassbank.net.Net;
import brassbank.net.Network;
import brassbank.relay.Relay;
import brassbank.relay.limits.QueueMemory;
import brassbank.relay.limits.RelayLimits;
import brassbank.sources.Randomness;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One proxy: creates its components and connects them on the network that it is given. A simulated
 * proxy is an object of this class, as is the proxy of a process.
 *
 * <p>Unless stated otherwise, the public methods may be called from any thread and run their work
 * on the event loop's thread.
 */
public final class Proxy {
  private static final Log LOG = Log.of("proxy");
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * After SIGTERM the platform waits for the longest deadline of all classes, but for this at most,
   * and then for {@link #KILL_DELAY_MICROS}, before it sends SIGKILL.
   */
  private static final long MAX_DEADLINE_MICROS = 3_000 * MICROS_PER_MILLI;

  private static final long KILL_DELAY_MICROS = 700 * MICROS_PER_MILLI;

  /**
   * How long even an idle proxy runs on after SIGTERM. New connections may arrive for 0.4 s after
   * it.
   */
  private static final long MIN_DRAIN_MICROS = 600 * MICROS_PER_MILLI;

  /**
   * How long before the SIGKILL the program ends. Data that is still queued at the SIGKILL is lost.
   */
  private static final long KILL_MARGIN_MICROS = 100 * MICROS_PER_MILLI;

  /** How long a drained proxy waits for peers without a session to close their side. */
  private static final long CLIENT_CLOSE_TIMEOUT_MICROS = 200 * MICROS_PER_MILLI;

  /**
   * How long before the end of the program the connections are reset whose clients have not read
   * all data that is queued for them.
   */
  private static final long RESET_LEAD_MICROS = 50 * MICROS_PER_MILLI;

  /**
   * How long before the end of the program the last clients get their final line, also those whose
   * host has begun a line and does not end it: the final line needs time to arrive.
   */
  private static final long FINAL_LINE_LEAD_MICROS = 150 * MICROS_PER_MILLI;

  /** The interval at which a draining proxy checks whether it is idle. */
  private static final long IDLE_CHECK_INTERVAL_MICROS = 20 * MICROS_PER_MILLI;

  /**
   * How long a successor waits for a list from discovery before it uses the list in its
   * configuration.
   */
  private static final long LIST_TIMEOUT_MICROS = 2_500 * MICROS_PER_MILLI;

  private final Config config;

  /** The settings in force, whose deadlines decide when the platform sends SIGKILL. */
  private volatile Balancer.Settings settings;

  private final FlowClock clock;
  private final long createdMicros;
  private volatile boolean readyToServe;

  /** Whether no other process accepted connections when readiness was last queried. */
  private boolean noneAccepting;

  /**
   * Whether operators have put a predecessor on standby, so that this process enters standby as
   * soon as it accepts connections.
   */
  private boolean standbyInherited;

  private final DescriptorShare descriptorShare;
  private final Net net;
  private final Relay relay;
  private final Decider decider;
  private final Dispatcher dispatcher;
  private final Discovery discovery;
  private final ClientFrontend frontend;

  /** The fleet that the proxy is a member of, or null if it is in none. */
  private final Fleet fleet;

  /** Creates a proxy without limits on slow peers that is in no fleet. */
  public Proxy(Config config, Network network) {
    this(config, RelayLimits.NONE, network);
  }

  /** Creates a proxy that is in no fleet. */
  public Proxy(Config config, RelayLimits limits, Network network) {
    this(config, limits, null, network);
  }

  /** Creates a proxy without a limit on the memory of all sessions together. */
  public Proxy(Config config, RelayLimits limits, MembershipConfig membership, Network network) {
    this(config, limits, QueueMemory.UNLIMITED, membership, network);
  }

  /**
   * Creates a proxy.
   *
   * @param config the configuration that the platform provides
   * @param limits the limits on slow peers
   * @param memory the limit on the memory of all sessions together
   * @param membership how the proxy becomes a member of its fleet, or null if it is in none
   */
  public Proxy(
      Config config,
      RelayLimits limits,
      QueueMemory memory,
      MembershipConfig membership,
      Network network) {
    this.config = config;
    settings = config.settings();
    clock = new FlowClock(network.clock());
    createdMicros = clock.now();
    descriptorShare = new DescriptorShare(config.descriptorLimit(), config.handover() != null);
    net = new Net(descriptorShare.limit(), network);
    relay = new Relay(net, limits, memory);
    decider = new Decider(config.settings(), config.seed(), config.knownTargets(), clock);
    dispatcher =
        new Dispatcher(
            decider,
            clock,
            net,
            relay,
            config.connectTimeoutMicros(),
            config.idleTimeoutMicros(),
            config.reportFields());
    frontend = new ClientFrontend(net, dispatcher);
    discovery =
        new Discovery(
            net,
            config.discovery(),
            config.knownTargets().index(),
            dispatcher,
            new Randomness(config.seed()).stream("discovery of " + config.name()));
    fleet =
        membership == null
            ? null
            : new FleetMember(config, decider, dispatcher, net, membership).fleet();
  }

  /**
   * Starts serving. A proxy with a listening socket of its own accepts clients from here on; one
   * that has inherited the socket accepts them from the first {@link #setAccepting} on.
   *
   * @throws IOException if an address cannot be bound or the inherited socket cannot be used
   */
  public void start() throws IOException {
    net.start();
    if (config.management() != null) {
      new ManagementServer(net, new ProxyOperations(decider, dispatcher, net, fleet))
          .listen(config.management());
    }
    if (config.handover() != null) {
      net.inherit(frontend::accept);
    } else {
      net.listen(config.listen(), frontend::accept);
    }
    net.execute(
        () -> {
          dispatcher.start(discovery);
          if (fleet != null && config.handover() == null) {
            fleet.open();
          }
          if (net.isAcceptingClients()) {
            dispatcher.report(new NetworkEvent.ServingStarted());
          }
        });
  }

  /**
   * Returns whether the proxy could serve clients, as evaluated by the event loop after the
   * previous call of this method, and requests a new evaluation.
   *
   * @param noneAccepting whether no other process accepts connections; the proxy then does not wait
   *     for a list from discovery, because an outdated list is better than no service
   */
  public boolean isReadyToServe(boolean noneAccepting) {
    net.execute(
        () -> {
          this.noneAccepting = noneAccepting;
          boolean awaitsList = !noneAccepting && clock.now() - createdMicros < LIST_TIMEOUT_MICROS;
          readyToServe = decider.hasTargets() && (decider.hasTargetList() || !awaitsList);
        });
    return readyToServe;
  }

  /**
   * Starts or stops accepting clients on the inherited listening socket.
   *
   * @param done runs on the event loop's thread once the change is in effect
   */
  public void setAccepting(boolean accepting, Runnable done) {
    net.execute(
        () -> {
          descriptorShare.updateNeed(
              accepting, net.requiredDescriptors(dispatcher.flowsAwaitingTarget()));
          net.descriptorLimit(descriptorShare.limit());
          if (accepting) {
            frontend.listenerOpened(noneAccepting);
          }
          net.acceptClients(accepting);
          if (fleet != null && accepting) {
            fleet.open();
          } else if (fleet != null) {
            // Another process takes over the membership under the same name, so that this one sends
            // no leave message.
            fleet.close(false);
          }
          dispatcher.report(new NetworkEvent.SuccessorChanged(!accepting));
          if (accepting) {
            dispatcher.report(new NetworkEvent.ServingStarted());
          }
          if (accepting && standbyInherited) {
            standbyInherited = false;
            dispatcher.report(new NetworkEvent.StandbyRequested());
          }
          done.run();
        });
  }

  /** Moves the clients away and enters standby. */
  public void enterStandby() {
    net.execute(() -> dispatcher.report(new NetworkEvent.StandbyRequested()));
  }

  /**
   * Enters standby once the fleet permits it, or at once if no permission is required.
   *
   * @param callback receives, on the event loop's thread, whether the clients are being moved away
   */
  public void requestStandby(Consumer<Boolean> callback) {
    ProxyOperations operations = new ProxyOperations(decider, dispatcher, net, fleet);
    net.execute(
        () -> {
          if (!operations.requestStandby(result -> callback.accept(result.success()))) {
            callback.accept(operations.enterStandby().success());
          }
        });
  }

  /** Accepts clients again after a standby or a drain. */
  public void activate() {
    net.execute(() -> dispatcher.report(new NetworkEvent.ActivationRequested()));
  }

  /** Passes the current state of this process to the consumer, on the event loop's thread. */
  public void captureState(Consumer<HandoverState> consumer) {
    net.execute(
        () -> {
          descriptorShare.updateNeed(
              net.isAcceptingClients(), net.requiredDescriptors(dispatcher.flowsAwaitingTarget()));
          net.descriptorLimit(descriptorShare.limit());
          consumer.accept(
              new HandoverState(
                  descriptorShare.limit(),
                  decider.state() == State.DRAINING || decider.state() == State.STANDBY,
                  frontend.openFlowIds(),
                  decider.targets(),
                  decider.establishedConnections()));
        });
  }

  /**
   * Receives the current state of a predecessor.
   *
   * @param number the predecessor's process number
   * @param state its state; {@link HandoverState#EMPTY} once it has stopped
   */
  public void updatePredecessor(long number, HandoverState state) {
    net.execute(
        () -> {
          descriptorShare.setPredecessorLimit(number, state.descriptorLimit());
          net.descriptorLimit(descriptorShare.limit());
          // A process that already accepts clients receives the operators' requests itself. The
          // standby of a predecessor outlasts its end.
          standbyInherited =
              !net.isAcceptingClients()
                  && (state.standby() || (standbyInherited && state.descriptorLimit() == 0));
          frontend.setPredecessorFlowIds(number, state.flowIds());
          dispatcher.report(
              new NetworkEvent.PredecessorReported(number, state.targets(), state.connections()));
        });
  }

  /**
   * Applies a new configuration without limits on slow peers. Established connections and open
   * flows continue. The name, the listen address, the seed and the memory limit change only with a
   * restart.
   */
  public void reload(Config next) {
    reload(next, RelayLimits.NONE);
  }

  /** Applies a new configuration and new limits on slow peers, see {@link #reload(Config)}. */
  public void reload(Config next, RelayLimits limits) {
    reload(next, limits, null);
  }

  /**
   * Applies a new configuration, new limits on slow peers and new seed addresses of the fleet, see
   * {@link #reload(Config)}.
   *
   * @param membership holds the seed addresses, or null to keep the present ones
   */
  public void reload(Config next, RelayLimits limits, MembershipConfig membership) {
    net.execute(
        () -> {
          // First, since it fails if there is no memory for the limits: the old settings all stand.
          relay.configure(limits);
          descriptorShare.setTotalLimit(next.descriptorLimit());
          net.descriptorLimit(descriptorShare.limit());
          settings = next.settings();
          dispatcher.configure(
              next.settings(),
              next.connectTimeoutMicros(),
              next.idleTimeoutMicros(),
              next.reportFields());
          discovery.changeAddress(next.discovery());
          if (fleet != null && membership != null) {
            fleet.setSeeds(membership.seeds());
          }
          LOG.info("reloaded", value("discovery", next.discovery()));
        });
  }

  /** Drains as {@link #drain(Runnable)} does, and waits until that or its time limit has ended. */
  public void drain() throws InterruptedException {
    CountDownLatch drained = new CountDownLatch(1);
    drained.await(drain(drained::countDown), TimeUnit.MICROSECONDS);
  }

  /**
   * Moves the connected clients away and answers the pending flows.
   *
   * @param drained runs on the event loop's thread once no flow is left
   * @return the time in microseconds after which the program must end, whether or not the drain has
   *     finished
   */
  public long drain(Runnable drained) {
    long longest = MAX_DEADLINE_MICROS;
    long deadline =
        settings.classes().stream()
            .mapToLong(Balancer.RequestClass::deadlineMicros)
            .max()
            .orElse(longest);
    long untilKill = Math.min(longest, deadline) + KILL_DELAY_MICROS;
    long start = clock.now();
    net.execute(
        () -> {
          relay.limitLineEndWaits(untilKill - KILL_MARGIN_MICROS - FINAL_LINE_LEAD_MICROS);
          dispatcher.report(new NetworkEvent.StopRequested(start + untilKill));
          net.loop()
              .schedule(
                  untilKill - KILL_MARGIN_MICROS - FINAL_LINE_LEAD_MICROS,
                  frontend::rejectBegunLines);
          net.loop()
              .schedule(
                  untilKill - KILL_MARGIN_MICROS - RESET_LEAD_MICROS, this::resetUnreadConnections);
          awaitDrained(
              start,
              0,
              () -> {
                leaveFleet();
                drained.run();
              });
        });
    return untilKill - KILL_MARGIN_MICROS;
  }

  private void resetUnreadConnections() {
    relay.resetPending();
    leaveFleet();
  }

  private void leaveFleet() {
    if (fleet != null) {
      fleet.close(true);
    }
  }

  /**
   * Returns the fleet that this proxy is a member of, or null if it is in none. To be called on the
   * event loop's thread, or before the start.
   */
  public Fleet fleet() {
    return fleet;
  }

  private boolean hasNoSessions(long drainStart) {
    return decider.openFlowCount() == 0
        && !relay.awaitsClients()
        && clock.now() - drainStart >= MIN_DRAIN_MICROS;
  }

  /**
   * Runs the callback once no flow is left, the clients of all sessions have closed their
   * connections, and other peers have too or have had the time to. Checks again after an interval
   * until then.
   *
   * @param idleFor how long the proxy has been idle without interruption, in microseconds
   */
  private void awaitDrained(long drainStart, long idleFor, Runnable drained) {
    if (hasNoSessions(drainStart)) {
      // Reads what has arrived on idle connections in the meantime, which may open another flow,
      // and closes the connections that remain idle. A line that has begun is waited for.
      frontend.closeIdleConnections();
    }
    boolean idle = hasNoSessions(drainStart) && !frontend.hasBegunLines();
    if (idle && (!net.hasClosingLinks() || idleFor >= CLIENT_CLOSE_TIMEOUT_MICROS)) {
      drained.run();
    } else {
      long nextIdleFor = idle ? idleFor + IDLE_CHECK_INTERVAL_MICROS : 0;
      net.loop()
          .schedule(
              IDLE_CHECK_INTERVAL_MICROS, () -> awaitDrained(drainStart, nextIdleFor, drained));
    }
  }
}
