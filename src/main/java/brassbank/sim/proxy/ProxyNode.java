package brassbank.sim.proxy;

import brassbank.config.Config;
import brassbank.config.ConfigException;
import brassbank.handover.Handover;
import brassbank.handover.HandoverState;
import brassbank.handover.HandoverStateMachine;
import brassbank.membership.Member;
import brassbank.membership.MembershipConfig;
import brassbank.membership.View;
import brassbank.net.Network;
import brassbank.proxy.Proxy;
import brassbank.relay.limits.RelayLimits;
import brassbank.sim.actor.ProxyInstance;
import brassbank.sim.actor.Site;
import brassbank.sim.actor.World;
import brassbank.sim.event.Event;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * One proxy of the site across the incarnations of its process: it is started without state,
 * killed, drained and restarted, upgraded, and made to reload its configuration. The process runs
 * the production {@link Proxy}.
 */
public class ProxyNode implements ProxyInstance {
  private static final int PORT = 7070;
  private static final long MILLI = Agenda.MILLI;

  /** Descriptors that the Java runtime holds in addition to those of the program. */
  private static final int RUNTIME_DESCRIPTORS = 44;

  /** Range of times from process start to listening, measured on the real proxy. */
  private static final long MIN_BOOT_MICROS = 250 * MILLI;

  private static final long MAX_BOOT_MICROS = 900 * MILLI;

  /** Range of delays from SIGTERM to SIGKILL. */
  private static final long MIN_KILL_DELAY_MICROS = 3_700 * MILLI;

  private static final long MAX_KILL_DELAY_MICROS = 4_200 * MILLI;

  private static final long MIN_RESTART_DELAY_MICROS = 200 * MILLI;
  private static final long MAX_RESTART_DELAY_MICROS = 1_500 * MILLI;

  /** Time that the new process of an upgrade has to start accepting connections. */
  private static final long TAKEOVER_TIMEOUT_MICROS = 6_000 * MILLI;

  private static final int BACKLOG = 1_024;

  /** An upgrade needs descriptors for two runtimes, the reserve of each process, and clients. */
  private static final int MIN_SOCKETS_FOR_UPGRADE = 320;

  private final World world;
  private final Site configuredSite;
  private final String name;
  private final int rank;
  private final Machine machine;
  private final InetSocketAddress address;
  private final UnaryOperator<Network> networkDecorator;
  private final boolean inheritsListener;
  private final MembershipConfig membershipConfig;
  private final RandomStreams.Stream stream;

  /** Live processes, and the most recent one even if it has ended. */
  private final List<Process> processes = new ArrayList<>();

  private SharedListener sharedListener;
  private int socketLimit;
  private long processesStarted;
  private int moves;
  private String knownHosts;
  private Process process;
  private Program program;
  private SimClock clock;
  private Proxy proxy;
  private Agenda.Entry kill;
  private boolean stopping;
  private long pausedUntil;

  /**
   * @param configuredSite the site as described by the settings of the proxy
   * @param networkDecorator decorates the network of each process; tests use it to inject bugs
   * @param inheritsListener whether the platform holds the listening socket, which upgrades require
   * @param membershipConfig how the proxy joins the fleet, or null if it does not
   */
  public ProxyNode(
      World world,
      Site configuredSite,
      String name,
      int rank,
      Machine machine,
      UnaryOperator<Network> networkDecorator,
      boolean inheritsListener,
      MembershipConfig membershipConfig) {
    this.world = world;
    this.configuredSite = configuredSite;
    this.name = name;
    this.rank = rank;
    this.machine = machine;
    this.networkDecorator = networkDecorator;
    this.inheritsListener = inheritsListener;
    this.membershipConfig = membershipConfig;
    this.socketLimit = world.site().sockets();
    this.address = new InetSocketAddress(machine.address(), PORT);
    this.stream = world.draws().of("proxy " + name);
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public Machine machine() {
    return machine;
  }

  /** Returns the current process, running or ended, or null before the first start. */
  public Program program() {
    return program;
  }

  /** Returns whether the process runs and has not been asked to stop. */
  public boolean isServing() {
    return program != null && program.isAlive() && proxy != null && !stopping;
  }

  // Lifecycle.

  @Override
  public void start(boolean atOnce) {
    if (program != null && program.isAlive()) {
      return;
    }
    if (knownHosts == null) {
      knownHosts = world.discovery().list(name);
    }
    world.discovery().resetReported(name, true);
    stopping = false;
    proxy = null;
    if (inheritsListener && sharedListener == null) {
      openSharedListener();
    }
    process = new Process();
    program = process.program;
    clock = new SimClock(world.agenda(), stream.bits() >>> 8, world.epochMillis());
    world.publish(new Event.ProxyStarted(name));
    program.schedule(atOnce ? 0 : stream.micros(MIN_BOOT_MICROS, MAX_BOOT_MICROS), process::serve);
    world.loadBalancer().processStarted(name, machine, address);
  }

  private void openSharedListener() {
    try {
      sharedListener =
          new SharedListener(
              machine,
              PORT,
              BACKLOG,
              by ->
                  processes.stream()
                      .filter(one -> one.program == by)
                      .forEach(one -> world.publish(new Event.DoorUsed(name, one.number))));
    } catch (IOException e) {
      throw new IllegalStateException("the platform cannot listen: " + e.getMessage(), e);
    }
  }

  /** Closes the listening socket once no process of the proxy is alive. */
  private void closeSharedListenerIfUnused() {
    processes.removeIf(one -> !one.program.isAlive());
    if (sharedListener != null && processes.isEmpty()) {
      sharedListener.close();
      sharedListener = null;
    }
  }

  @Override
  public boolean isMember() {
    return membershipConfig != null
        && processes.stream()
            .anyMatch(
                one ->
                    one.program.isAlive()
                        && !one.terminated
                        && one.proxy != null
                        && one.proxy.fleet().view() != null);
  }

  @Override
  public int descriptors() {
    return processes.stream()
        .filter(one -> one.program.isAlive())
        .mapToInt(one -> one.program.descriptors())
        .sum();
  }

  /** One process of the proxy, with the state that it publishes to the other processes. */
  private final class Process {
    private final long number = ++processesStarted;
    private final Program program = new Program(machine, name, RUNTIME_DESCRIPTORS, socketLimit);
    private final HandoverStateMachine handover = new HandoverStateMachine();
    private final Map<Long, HandoverState> importedStates = new LinkedHashMap<>();
    private final long startedAtMicros = world.now();
    private Proxy proxy;

    /** The handover phase that its lock files show to the other processes. */
    private HandoverStateMachine.Phase publishedPhase = HandoverStateMachine.Phase.WAITING;

    /** The state in its handover file; null if it has written none. */
    private HandoverState publishedState;

    /** Runs each time the process starts to accept connections. */
    private Runnable onAccepting = () -> {};

    private boolean hasTakenOver;

    /** The process has received SIGTERM; another process of the proxy may go on. */
    private boolean terminated;

    Process() {
      processes.add(this);
    }

    void serve() {
      SimNetwork.DescriptorExhaustionHandler exhausted =
          held -> world.publish(new Event.DescriptorsExhausted(name, held));
      Network network =
          networkDecorator.apply(new SimNetwork(program, clock, exhausted, sharedListener));
      try {
        Config read = Config.of(config(0));
        Config config = inheritsListener ? read.withInheritedListener(Path.of(name)) : read;
        proxy = new Proxy(config, RelayLimits.NONE, membershipConfig, network);
        if (membershipConfig != null) {
          proxy.fleet().addListener(change -> publishView());
        }
        proxy.start();
      } catch (ConfigException | IOException e) {
        throw new IllegalStateException("a proxy cannot start: " + e.getMessage(), e);
      }
      if (process == this) {
        ProxyNode.this.proxy = proxy;
      }
      if (inheritsListener) {
        pollHandover();
      }
    }

    private void publishView() {
      View view = proxy.fleet().view();
      List<Event.Seen> members = new ArrayList<>();
      for (Member one : view.members()) {
        members.add(
            new Event.Seen(
                one.name(),
                one.state().name().toLowerCase(Locale.ROOT),
                one.incarnation().startTime(),
                one.incarnation().revision()));
      }
      world.publish(
          new Event.ViewSeen(
              name, number, view.version(), view.settled(), view.displaced(), members));
    }

    private List<Process> liveProcesses(boolean successors) {
      return processes.stream()
          .filter(one -> one.program.isAlive() && one != this)
          .filter(one -> successors == one.number > number)
          .toList();
    }

    /**
     * Performs the steps that {@code Handover} takes with locks and files, at its poll interval.
     */
    private void pollHandover() {
      HandoverStateMachine.Phase before = handover.phase();
      boolean accepted =
          liveProcesses(false).stream().anyMatch(one -> one.publishedPhase.isAccepting());
      boolean succeeded =
          liveProcesses(true).stream().anyMatch(one -> one.publishedPhase.isReady());
      boolean knows = exchangeState();
      boolean able = before.isReady() || (knows && proxy.isReadyToServe(!accepted));
      HandoverStateMachine.Phase phase =
          handover.step(world.now(), new HandoverStateMachine.View(accepted, succeeded), able);
      if (before.isAccepting() && !phase.isAccepting()) {
        proxy.setAccepting(false, () -> publishedPhase = phase);
      } else {
        publishedPhase = phase;
        if (!before.isAccepting() && phase.isAccepting()) {
          world.publish(new Event.DoorHeld(name, number));
          proxy.setAccepting(true, () -> onAccepting.run());
        }
      }
      program.schedule(Handover.POLL_INTERVAL_MILLIS * MILLI, this::pollHandover);
    }

    private boolean exchangeState() {
      if (!liveProcesses(true).isEmpty()) {
        proxy.captureState(held -> publishedState = held);
      }
      List<Process> before = liveProcesses(false);
      for (Process one : before) {
        if (one.publishedState != null
            && one.publishedState != importedStates.put(one.number, one.publishedState)) {
          proxy.updatePredecessor(one.number, one.publishedState);
        }
      }
      for (long known : List.copyOf(importedStates.keySet())) {
        if (before.stream().noneMatch(one -> one.number == known)) {
          importedStates.remove(known);
          proxy.updatePredecessor(known, HandoverState.EMPTY);
        }
      }
      return world.now() - startedAtMicros >= Handover.STATE_TIMEOUT_MICROS
          || before.stream().allMatch(one -> importedStates.containsKey(one.number));
    }
  }

  /**
   * Starts a process beside the one that serves. Once the new process accepts connections, the old
   * one receives SIGTERM, and SIGKILL after a delay. A new process that does not accept connections
   * in time is killed.
   */
  @Override
  public void upgrade() {
    if (socketLimit < MIN_SOCKETS_FOR_UPGRADE) {
      return;
    }
    if (!inheritsListener
        || !isServing()
        || processes.stream().filter(p -> p.program.isAlive()).count() > 1) {
      return;
    }
    Process old = process;
    Process next = new Process();
    next.program.schedule(stream.micros(MIN_BOOT_MICROS, MAX_BOOT_MICROS), next::serve);
    next.onAccepting =
        () -> {
          if (next.hasTakenOver) {
            return;
          }
          next.hasTakenOver = true;
          process = next;
          program = next.program;
          proxy = next.proxy;
          terminatePredecessor(old);
        };
    world
        .agenda()
        .after(
            TAKEOVER_TIMEOUT_MICROS,
            () -> {
              if (!next.hasTakenOver) {
                next.program.kill();
              }
            });
  }

  /** Sends SIGTERM, and later SIGKILL, to a process whose successor serves. */
  private void terminatePredecessor(Process old) {
    if (!old.program.isAlive()) {
      return;
    }
    old.program.schedule(
        0,
        () -> {
          long limit = old.proxy.drain(old.program::exit);
          old.program.schedule(limit, old.program::exit);
        });
    world
        .agenda()
        .after(
            stream.micros(MIN_KILL_DELAY_MICROS, MAX_KILL_DELAY_MICROS),
            () -> {
              if (old.program.isAlive()) {
                old.program.kill();
                world.publish(new Event.ProxyKilled(name, true));
              }
            });
  }

  private String config(int further) {
    return ProxyConfig.text(
        configuredSite,
        name,
        rank,
        configuredSite.zones().get(rank % configuredSite.zones().size()),
        machine.address().getHostAddress() + ":" + PORT,
        world.discovery().address(name, further),
        stream.bits(),
        socketLimit,
        knownHosts);
  }

  @Override
  public void crash(long downFor) {
    if (program != null && program.isAlive()) {
      recordStop();
      processes.forEach(one -> one.program.kill());
      closeSharedListenerIfUnused();
      world.loadBalancer().processFailed(name);
      world.publish(new Event.ProxyKilled(name, false));
    }
    world.agenda().after(downFor, () -> start(false));
  }

  @Override
  public void losePower(long downFor) {
    machine.losePower();
    crash(downFor);
    world.agenda().after(downFor, machine::restorePower);
  }

  @Override
  public void restart() {
    if (!isServing()) {
      return;
    }
    stopping = true;
    process.terminated = true;
    world.publish(new Event.ProxyTerminated(name));
    world.loadBalancer().shutdownStarted(name);
    Program stoppedProgram = program;
    Proxy stopped = proxy;
    kill =
        world
            .agenda()
            .after(
                stream.micros(MIN_KILL_DELAY_MICROS, MAX_KILL_DELAY_MICROS),
                () -> killAndRestart(stoppedProgram));
    program.schedule(
        0,
        () -> {
          long limit = stopped.drain(() -> exitAndRestart(stoppedProgram));
          stoppedProgram.schedule(limit, () -> exitAndRestart(stoppedProgram));
        });
  }

  @Override
  public void standby(long awayFor) {
    if (!isServing()) {
      return;
    }
    if (membershipConfig != null && membershipConfig.sharesBudgets()) {
      proxy.requestStandby(
          yes -> {
            if (yes) {
              sendClientsAway(awayFor);
            } else {
              world.publish(new Event.ProxyPutOff(name));
            }
          });
      return;
    }
    sendClientsAway(awayFor);
    proxy.enterStandby();
  }

  /** Reports the standby and schedules the return to service. */
  private void sendClientsAway(long awayFor) {
    Program stoppedProgram = program;
    world.publish(new Event.ProxyOnStandby(name));
    world.loadBalancer().shutdownStarted(name);
    world
        .agenda()
        .after(
            awayFor,
            () -> {
              if (isServing() && program == stoppedProgram) {
                proxy.activate();
                world.publish(new Event.ProxyCalledBack(name));
                world.loadBalancer().returnedToService(name);
              }
            });
  }

  private void exitAndRestart(Program stoppedProgram) {
    if (stoppedProgram.isAlive()) {
      kill.cancel();
      recordStop();
      stoppedProgram.exit();
      closeSharedListenerIfUnused();
      // After an upgrade between SIGTERM and exit the successor keeps running.
      if (stoppedProgram == program) {
        world.publish(new Event.ProxyExited(name, 0));
      }
      world
          .agenda()
          .after(
              stream.micros(MIN_RESTART_DELAY_MICROS, MAX_RESTART_DELAY_MICROS),
              () -> start(false));
    }
  }

  private void killAndRestart(Program stoppedProgram) {
    if (stoppedProgram.isAlive()) {
      recordStop();
      stoppedProgram.kill();
      closeSharedListenerIfUnused();
      world.publish(new Event.ProxyKilled(name, true));
      world
          .agenda()
          .after(
              stream.micros(MIN_RESTART_DELAY_MICROS, MAX_RESTART_DELAY_MICROS),
              () -> start(false));
    }
  }

  private void recordStop() {
    knownHosts = world.discovery().list(name);
    stopping = true;
  }

  @Override
  public void hangUp(int further) {
    if (isServing()) {
      world.publish(new Event.ProxyHungUp(name, further > 0));
      if (!reload(config(further))) {
        throw new IllegalStateException(name + " cannot read its own configuration");
      }
    }
  }

  @Override
  public void hangUpDamaged() {
    if (isServing()) {
      reload(ProxyConfig.truncated(config(1)));
    }
  }

  /** Returns false, and changes nothing, if the configuration is invalid. */
  private boolean reload(String text) {
    try {
      Config next = Config.of(text);
      // During an upgrade both processes read the same file.
      processes.stream()
          .filter(one -> one.program.isAlive() && one.proxy != null)
          .forEach(one -> one.proxy.reload(next));
      return true;
    } catch (ConfigException e) {
      return false;
    }
  }

  @Override
  public void stepClock(long millis) {
    if (clock != null) {
      clock.step(millis);
    }
  }

  @Override
  public void pause(long micros) {
    if (program != null) {
      pausedUntil = Math.max(pausedUntil, world.now() + micros);
      processes.forEach(one -> one.program.pause(pausedUntil));
    }
  }

  @Override
  public long pausedUntil() {
    return pausedUntil;
  }

  /** Sets the descriptor limit in the configuration as of the next start or SIGHUP. */
  public void socketLimit(int limit) {
    socketLimit = limit;
  }
}
