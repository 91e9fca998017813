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
 * One proxy of the site, through the lives of its process: started from nothing, killed, stopped as
 * planned, told to read its configuration again. What runs in it is the program's own {@link
 * Proxy}.
 */
public class ProxyNode implements ProxyInstance {
  private static final int PORT = 7070;
  private static final long MILLI = Agenda.MILLI;

  /** Descriptors that the Java runtime holds beside the program's own. */
  private static final int RUNTIME_DESCRIPTORS = 44;

  /** From the start of the process to its listening, by what was measured of the real one. */
  private static final long MIN_BOOT_MICROS = 250 * MILLI;

  private static final long MAX_BOOT_MICROS = 900 * MILLI;

  /** SIGKILL comes no earlier than this after SIGTERM, and may come later. */
  private static final long MIN_KILL_DELAY_MICROS = 3_700 * MILLI;

  private static final long MAX_KILL_DELAY_MICROS = 4_200 * MILLI;

  private static final long MIN_RESTART_DELAY_MICROS = 200 * MILLI;
  private static final long MAX_RESTART_DELAY_MICROS = 1_500 * MILLI;

  /** DAYS, Upgrades: the new process has so long to say yes. */
  private static final long TAKEOVER_TIMEOUT_MICROS = 6_000 * MILLI;

  private static final int BACKLOG = 1_024;

  /** Two runtimes, what each keeps in reserve, and clients: with fewer no upgrade can be served. */
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

  /** Those that live, the last one among them. */
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
   * @param told the site as the proxy's settings tell it
   * @param wrapping put round the network of each of its lives; the tests plant bugs here
   * @param inherits whether the platform holds its listening socket, so that it can be upgraded
   * @param joining how it becomes a member of the fleet, or null for none
   */
  public ProxyNode(
      World world,
      Site told,
      String name,
      int rank,
      Machine machine,
      UnaryOperator<Network> wrapping,
      boolean inherits,
      MembershipConfig joining) {
    this.world = world;
    this.configuredSite = told;
    this.name = name;
    this.rank = rank;
    this.machine = machine;
    this.networkDecorator = wrapping;
    this.inheritsListener = inherits;
    this.membershipConfig = joining;
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

  /** Its process now, dead or alive. */
  public Program program() {
    return program;
  }

  /** Whether its process runs and has not been told to stop. */
  public boolean isServing() {
    return program != null && program.isAlive() && proxy != null && !stopping;
  }

  // ------------------------------------------------------------------- life

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

  /** The platform holds the socket as long as a process of the proxy lives. */
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

  /** One process of the proxy, and what the others see of it. */
  private final class Process {
    private final long number = ++processesStarted;
    private final Program program = new Program(machine, name, RUNTIME_DESCRIPTORS, socketLimit);
    private final HandoverStateMachine handover = new HandoverStateMachine();
    private final Map<Long, HandoverState> importedStates = new LinkedHashMap<>();
    private final long startedAtMicros = world.now();
    private Proxy proxy;

    /** What its locks say. */
    private HandoverStateMachine.Phase publishedPhase = HandoverStateMachine.Phase.WAITING;

    /** What its file says; null while there is none. */
    private HandoverState publishedState;

    /** Runs each time it begins to take connections. */
    private Runnable onAccepting = () -> {};

    private boolean hasTakenOver;

    /** It was told to stop, while another process of the proxy may go on. */
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
        Config mine = inheritsListener ? read.withInheritedListener(Path.of(name)) : read;
        proxy = new Proxy(mine, RelayLimits.NONE, membershipConfig, network);
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

    /** What {@code Handover} does with locks and files, at its pace. */
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
   * The platform starts a process beside the one that serves; once it has said yes, the old one
   * gets SIGTERM, and SIGKILL when its time is over. One that says no for too long is killed.
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

  /** SIGTERM to a process whose successor serves. */
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
    Program life = program;
    Proxy stopped = proxy;
    kill =
        world
            .agenda()
            .after(
                stream.micros(MIN_KILL_DELAY_MICROS, MAX_KILL_DELAY_MICROS),
                () -> killAndRestart(life));
    program.schedule(
        0,
        () -> {
          long limit = stopped.drain(() -> exitAndRestart(life));
          life.schedule(limit, () -> exitAndRestart(life));
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

  /** Its clients are sent away from here on. */
  private void sendClientsAway(long awayFor) {
    Program life = program;
    world.publish(new Event.ProxyOnStandby(name));
    world.loadBalancer().shutdownStarted(name);
    world
        .agenda()
        .after(
            awayFor,
            () -> {
              if (isServing() && program == life) {
                proxy.activate();
                world.publish(new Event.ProxyCalledBack(name));
                world.loadBalancer().returnedToService(name);
              }
            });
  }

  private void exitAndRestart(Program life) {
    if (life.isAlive()) {
      kill.cancel();
      recordStop();
      life.exit();
      closeSharedListenerIfUnused();
      // One that was succeeded between SIGTERM and its end leaves a proxy that lives.
      if (life == program) {
        world.publish(new Event.ProxyExited(name, 0));
      }
      world
          .agenda()
          .after(
              stream.micros(MIN_RESTART_DELAY_MICROS, MAX_RESTART_DELAY_MICROS),
              () -> start(false));
    }
  }

  private void killAndRestart(Program life) {
    if (life.isAlive()) {
      recordStop();
      life.kill();
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

  /** False where the text cannot be used, and nothing of it is. */
  private boolean reload(String text) {
    try {
      Config next = Config.of(text);
      // An upgrade's other process reads the same file.
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

  /** How many descriptors its configuration states from its next life, or its next SIGHUP. */
  public void socketLimit(int limit) {
    socketLimit = limit;
  }
}
