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
import brassbank.relay.limits.RelayLimits;
import brassbank.sources.Randomness;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The parts of one proxy, wired together on the network it is given: one object is what a process
 * is on the platform.
 */
public final class Proxy {
  private static final Log LOG = Log.of("proxy");
  private static final long MILLI = 1_000;

  /** PROTOCOL, Figures: SIGKILL comes after the longest deadline, 3 s at most, and this. */
  private static final long LONGEST_DEADLINE = 3_000 * MILLI;

  private static final long STOP_TIME = 700 * MILLI;

  /** New connections may keep coming for 0.4 s after SIGTERM, so that an idle proxy waits. */
  private static final long STILL_COMING = 600 * MILLI;

  /** What is still held when SIGKILL comes is lost: the end comes this long before. */
  private static final long KILL_MARGIN = 100 * MILLI;

  /** Clients that do not end their side after their last line are not waited for any longer. */
  private static final long LAST_WORDS = 200 * MILLI;

  /** Who has not taken what waits for it so long before the end sees a reset, and no proper end. */
  private static final long LAST_RESETS = 50 * MILLI;

  private static final long LOOK_AGAIN = 20 * MILLI;

  /** A successor waits so long for discovery's list; then the one that it was started with does. */
  private static final long LIST_PATIENCE = 2_500 * MILLI;

  private final Config config;

  /** Those in force: the platform's times follow from them. */
  private volatile Balancer.Settings settings;

  private final FlowClock clock;
  private final long made;
  private volatile boolean able;
  private boolean first;

  /** The predecessor's clients were sent away by operators: so are this one's. */
  private boolean standby;

  private final DescriptorShare share;
  private final Net net;
  private final Relay relay;
  private final Decider decider;
  private final Dispatcher dispatcher;
  private final Discovery discovery;
  private final ClientFrontend front;

  /** Null for a proxy that is in none. */
  private final Fleet fleet;

  /** A proxy that is told no more than the platform's own configuration. */
  public Proxy(Config config, Network network) {
    this(config, RelayLimits.NONE, network);
  }

  public Proxy(Config config, RelayLimits limits, Network network) {
    this(config, limits, null, network);
  }

  /**
   * As above, as a member of a fleet.
   *
   * @param joining how it becomes one, or null for none
   */
  public Proxy(Config config, RelayLimits limits, MembershipConfig joining, Network network) {
    this.config = config;
    settings = config.settings();
    clock = new FlowClock(network.clock());
    made = clock.now();
    share = new DescriptorShare(config.descriptorLimit(), config.handover() != null);
    net = new Net(share.limit(), network);
    relay = new Relay(net, limits);
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
    front = new ClientFrontend(net, dispatcher);
    discovery =
        new Discovery(
            net,
            config.discovery(),
            config.knownTargets().index(),
            dispatcher,
            new Randomness(config.seed()).stream("discovery of " + config.name()));
    fleet = joining == null ? null : new Member(config, decider, dispatcher, net, joining).fleet();
  }

  /**
   * Takes clients from here on, or once a predecessor on the same listening socket lets go of it;
   * throws where the address or the socket cannot be had.
   */
  public void start() throws IOException {
    net.start();
    if (config.management() != null) {
      new ManagementServer(net, new Operation(decider, dispatcher, net, fleet))
          .listen(config.management());
    }
    if (config.handover() != null) {
      net.inherit(front::accept);
    } else {
      net.listen(config.listen(), front::accept);
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
   * Whether clients could be taken, as of the last time this was asked; any thread may call.
   *
   * @param first whether no other process takes them: then an old list is better than none
   */
  public boolean isReadyToServe(boolean first) {
    net.execute(
        () -> {
          this.first = first;
          boolean patient = !first && clock.now() - made < LIST_PATIENCE;
          able = decider.hasTargets() && (decider.hasTargetList() || !patient);
        });
    return able;
  }

  /**
   * Takes clients from the inherited listening socket from here on, or none; any thread may call.
   *
   * @param done runs on the loop's thread once that holds
   */
  public void setAccepting(boolean on, Runnable done) {
    net.execute(
        () -> {
          share.updateNeed(on, net.requiredDescriptors(dispatcher.flowsAwaitingTarget()));
          net.descriptorLimit(share.limit());
          if (on) {
            front.listenerOpened(first);
          }
          net.acceptClients(on);
          if (fleet != null && on) {
            fleet.open();
          } else if (fleet != null) {
            // Another process of this name is the member from here on: no goodbye.
            fleet.close(false);
          }
          dispatcher.report(new NetworkEvent.SuccessorChanged(!on));
          if (on) {
            dispatcher.report(new NetworkEvent.ServingStarted());
          }
          if (on && standby) {
            standby = false;
            dispatcher.report(new NetworkEvent.StandbyRequested());
          }
          done.run();
        });
  }

  /** Sends the clients away and lives on; any thread may call. */
  public void enterStandby() {
    net.execute(() -> dispatcher.report(new NetworkEvent.StandbyRequested()));
  }

  /**
   * The same by the fleet's leave, where it gives any; any thread may call.
   *
   * @param told hears on the loop's thread whether the clients are sent away now
   */
  public void requestStandby(Consumer<Boolean> told) {
    Operation operation = new Operation(decider, dispatcher, net, fleet);
    net.execute(
        () -> {
          if (!operation.requestStandby(result -> told.accept(result.success()))) {
            told.accept(operation.enterStandby().success());
          }
        });
  }

  /** Takes clients again; any thread may call. */
  public void activate() {
    net.execute(() -> dispatcher.report(new NetworkEvent.ActivationRequested()));
  }

  /** Has told what this process holds, on the loop's thread; any thread may call. */
  public void captureState(Consumer<HandoverState> told) {
    net.execute(
        () -> {
          share.updateNeed(
              net.isAcceptingClients(), net.requiredDescriptors(dispatcher.flowsAwaitingTarget()));
          net.descriptorLimit(share.limit());
          told.accept(
              new HandoverState(
                  share.limit(),
                  decider.state() == State.DRAINING || decider.state() == State.STANDBY,
                  front.openFlowIds(),
                  decider.targets(),
                  decider.establishedConnections()));
        });
  }

  /** What a predecessor with this number holds now; any thread may call. */
  public void updatePredecessor(long number, HandoverState holding) {
    net.execute(
        () -> {
          share.setPredecessorLimit(number, holding.descriptorLimit());
          net.descriptorLimit(share.limit());
          // A process that already serves hears its operators itself.
          standby =
              !net.isAcceptingClients()
                  && (holding.standby() || (standby && holding.descriptorLimit() == 0));
          front.setPredecessorFlowIds(number, holding.flowIds());
          dispatcher.report(
              new NetworkEvent.PredecessorReported(
                  number, holding.targets(), holding.connections()));
        });
  }

  /**
   * Applies what can change while the proxy serves. Standing connections and open flows go on; the
   * name, the address clients come to, the seed and the memory hold until a restart.
   */
  public void reload(Config next) {
    reload(next, RelayLimits.NONE);
  }

  /** As {@link #reload(Config)}, with limits on slow peers. */
  public void reload(Config next, RelayLimits limits) {
    reload(next, limits, null);
  }

  /** As above, with other addresses to look for the fleet at, or null for the same. */
  public void reload(Config next, RelayLimits limits, MembershipConfig joining) {
    net.execute(
        () -> {
          share.setTotalLimit(next.descriptorLimit());
          net.descriptorLimit(share.limit());
          relay.configure(limits);
          settings = next.settings();
          dispatcher.configure(
              next.settings(),
              next.connectTimeoutMicros(),
              next.idleTimeoutMicros(),
              next.reportFields());
          discovery.changeAddress(next.discovery());
          if (fleet != null && joining != null) {
            fleet.setSeeds(joining.seeds());
          }
          LOG.info("reloaded", value("discovery", next.discovery()));
        });
  }

  /** As {@link #drain(Runnable)}; returns once the end has come or the time is over. */
  public void drain() throws InterruptedException {
    CountDownLatch empty = new CountDownLatch(1);
    empty.await(drain(empty::countDown), TimeUnit.MICROSECONDS);
  }

  /**
   * Sends the standing clients away and answers the rest; any thread may call.
   *
   * @param empty runs on the loop's thread once none is left
   * @return after how many microseconds the program must end, whether that has come or not
   */
  public long drain(Runnable empty) {
    long longest = LONGEST_DEADLINE;
    long deadline =
        settings.classes().stream()
            .mapToLong(Balancer.RequestClass::deadlineMicros)
            .max()
            .orElse(longest);
    long left = Math.min(longest, deadline) + STOP_TIME;
    long start = clock.now();
    net.execute(
        () -> {
          dispatcher.report(new NetworkEvent.StopRequested(start + left));
          net.loop().schedule(left - KILL_MARGIN - LAST_RESETS, this::abandon);
          awaitEmpty(
              start,
              0,
              () -> {
                goodbye();
                empty.run();
              });
        });
    return left - KILL_MARGIN;
  }

  private void abandon() {
    relay.resetPending();
    goodbye();
  }

  private void goodbye() {
    if (fleet != null) {
      fleet.close(true);
    }
  }

  /** This proxy as a member of a fleet, or null; for the loop's thread, or before the start. */
  public Fleet fleet() {
    return fleet;
  }

  private boolean idle(long start) {
    return decider.openFlowCount() == 0
        && !relay.hasPendingClientData()
        && clock.now() - start >= STILL_COMING;
  }

  /** Empty is a proxy with no flow left, whose clients have seen the end or had time to. */
  private void awaitEmpty(long start, long emptyFor, Runnable empty) {
    if (idle(start)) {
      // What has come on a resting connection meanwhile may be one more flow.
      front.closeIdleConnections();
    }
    boolean over = idle(start);
    if (over && (!net.hasClosingLinks() || emptyFor >= LAST_WORDS)) {
      empty.run();
    } else {
      long next = over ? emptyFor + LOOK_AGAIN : 0;
      net.loop().schedule(LOOK_AGAIN, () -> awaitEmpty(start, next, empty));
    }
  }
}
