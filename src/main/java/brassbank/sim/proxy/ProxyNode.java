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
  private static final int RUNTIME = 44;

  /** From the start of the process to its listening, by what was measured of the real one. */
  private static final long BOOT_LEAST = 250 * MILLI;

  private static final long BOOT_MOST = 900 * MILLI;

  /** SIGKILL comes no earlier than this after SIGTERM, and may come later. */
  private static final long KILL_LEAST = 3_700 * MILLI;

  private static final long KILL_MOST = 4_200 * MILLI;

  private static final long RESTART_LEAST = 200 * MILLI;
  private static final long RESTART_MOST = 1_500 * MILLI;

  /** DAYS, Upgrades: the new process has so long to say yes. */
  private static final long YES_WITHIN = 6_000 * MILLI;

  private static final int BACKLOG = 1_024;

  /** Two runtimes, what each keeps in reserve, and clients: with fewer no upgrade can be served. */
  private static final int SOCKETS_FOR_TWO = 320;

  private final World world;
  private final Site told;
  private final String name;
  private final int rank;
  private final Machine machine;
  private final InetSocketAddress address;
  private final UnaryOperator<Network> wrapping;
  private final boolean inherits;
  private final MembershipConfig joining;
  private final RandomStreams.Stream stream;

  /** Those that live, the last one among them. */
  private final List<Process> processes = new ArrayList<>();

  private SharedDoor door;
  private int sockets;
  private long lives;
  private int moves;
  private String known;
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
    this.told = told;
    this.name = name;
    this.rank = rank;
    this.machine = machine;
    this.wrapping = wrapping;
    this.inherits = inherits;
    this.joining = joining;
    this.sockets = world.site().sockets();
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
  public boolean serving() {
    return program != null && program.alive() && proxy != null && !stopping;
  }

  // ------------------------------------------------------------------- life

  @Override
  public void start(boolean atOnce) {
    if (program != null && program.alive()) {
      return;
    }
    if (known == null) {
      known = world.discovery().list(name);
    }
    world.discovery().resetReported(name, true);
    stopping = false;
    proxy = null;
    if (inherits && door == null) {
      openDoor();
    }
    process = new Process();
    program = process.program;
    clock = new SimClock(world.agenda(), stream.bits() >>> 8, world.epochMillis());
    world.publish(new Event.ProxyStarted(name));
    program.later(atOnce ? 0 : stream.micros(BOOT_LEAST, BOOT_MOST), process::serve);
    world.loadBalancer().processStarted(name, machine, address);
  }

  private void openDoor() {
    try {
      door =
          new SharedDoor(
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
  private void closeDoor() {
    processes.removeIf(one -> !one.program.alive());
    if (door != null && processes.isEmpty()) {
      door.close();
      door = null;
    }
  }

  @Override
  public boolean isMember() {
    return joining != null
        && processes.stream()
            .anyMatch(
                one ->
                    one.program.alive()
                        && !one.terminated
                        && one.proxy != null
                        && one.proxy.fleet().view() != null);
  }

  @Override
  public int descriptors() {
    return processes.stream()
        .filter(one -> one.program.alive())
        .mapToInt(one -> one.program.descriptors())
        .sum();
  }

  /** One process of the proxy, and what the others see of it. */
  private final class Process {
    private final long number = ++lives;
    private final Program program = new Program(machine, name, RUNTIME, sockets);
    private final HandoverStateMachine succession = new HandoverStateMachine();
    private final Map<Long, HandoverState> seen = new LinkedHashMap<>();
    private final long began = world.now();
    private Proxy proxy;

    /** What its locks say. */
    private HandoverStateMachine.Phase told = HandoverStateMachine.Phase.WAITING;

    /** What its file says; null while there is none. */
    private HandoverState holding;

    /** Runs each time it begins to take connections. */
    private Runnable yes = () -> {};

    private boolean saidYes;

    /** It was told to stop, while another process of the proxy may go on. */
    private boolean terminated;

    Process() {
      processes.add(this);
    }

    void serve() {
      SimNetwork.Exhausted exhausted =
          held -> world.publish(new Event.DescriptorsExhausted(name, held));
      Network network = wrapping.apply(new SimNetwork(program, clock, exhausted, door));
      try {
        Config read = Config.of(config(0));
        Config mine = inherits ? read.withInheritedListener(Path.of(name)) : read;
        proxy = new Proxy(mine, RelayLimits.NONE, joining, network);
        if (joining != null) {
          proxy.fleet().addListener(change -> viewed());
        }
        proxy.start();
      } catch (ConfigException | IOException e) {
        throw new IllegalStateException("a proxy cannot start: " + e.getMessage(), e);
      }
      if (process == this) {
        ProxyNode.this.proxy = proxy;
      }
      if (inherits) {
        look();
      }
    }

    private void viewed() {
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

    private List<Process> others(boolean successors) {
      return processes.stream()
          .filter(one -> one.program.alive() && one != this)
          .filter(one -> successors == one.number > number)
          .toList();
    }

    /** What {@code Handover} does with locks and files, at its pace. */
    private void look() {
      HandoverStateMachine.Phase before = succession.phase();
      boolean accepted = others(false).stream().anyMatch(one -> one.told.isAccepting());
      boolean succeeded = others(true).stream().anyMatch(one -> one.told.isReady());
      boolean knows = pass();
      boolean able = before.isReady() || (knows && proxy.isReadyToServe(!accepted));
      HandoverStateMachine.Phase phase =
          succession.step(world.now(), new HandoverStateMachine.View(accepted, succeeded), able);
      if (before.isAccepting() && !phase.isAccepting()) {
        proxy.setAccepting(false, () -> told = phase);
      } else {
        told = phase;
        if (!before.isAccepting() && phase.isAccepting()) {
          world.publish(new Event.DoorHeld(name, number));
          proxy.setAccepting(true, () -> yes.run());
        }
      }
      program.later(Handover.POLL_INTERVAL_MILLIS * MILLI, this::look);
    }

    private boolean pass() {
      if (!others(true).isEmpty()) {
        proxy.captureState(held -> holding = held);
      }
      List<Process> before = others(false);
      for (Process one : before) {
        if (one.holding != null && one.holding != seen.put(one.number, one.holding)) {
          proxy.updatePredecessor(one.number, one.holding);
        }
      }
      for (long known : List.copyOf(seen.keySet())) {
        if (before.stream().noneMatch(one -> one.number == known)) {
          seen.remove(known);
          proxy.updatePredecessor(known, HandoverState.EMPTY);
        }
      }
      return world.now() - began >= Handover.STATE_TIMEOUT_MICROS
          || before.stream().allMatch(one -> seen.containsKey(one.number));
    }
  }

  /**
   * The platform starts a process beside the one that serves; once it has said yes, the old one
   * gets SIGTERM, and SIGKILL when its time is over. One that says no for too long is killed.
   */
  @Override
  public void upgrade() {
    if (sockets < SOCKETS_FOR_TWO) {
      return;
    }
    if (!inherits || !serving() || processes.stream().filter(p -> p.program.alive()).count() > 1) {
      return;
    }
    Process old = process;
    Process next = new Process();
    next.program.later(stream.micros(BOOT_LEAST, BOOT_MOST), next::serve);
    next.yes =
        () -> {
          if (next.saidYes) {
            return;
          }
          next.saidYes = true;
          process = next;
          program = next.program;
          proxy = next.proxy;
          leave(old);
        };
    world
        .agenda()
        .after(
            YES_WITHIN,
            () -> {
              if (!next.saidYes) {
                next.program.kill();
              }
            });
  }

  /** SIGTERM to a process whose successor serves. */
  private void leave(Process old) {
    if (!old.program.alive()) {
      return;
    }
    old.program.later(
        0,
        () -> {
          long limit = old.proxy.drain(old.program::exit);
          old.program.later(limit, old.program::exit);
        });
    world
        .agenda()
        .after(
            stream.micros(KILL_LEAST, KILL_MOST),
            () -> {
              if (old.program.alive()) {
                old.program.kill();
                world.publish(new Event.ProxyKilled(name, true));
              }
            });
  }

  private String config(int further) {
    return ProxyConfig.text(
        told,
        name,
        rank,
        told.zones().get(rank % told.zones().size()),
        machine.address().getHostAddress() + ":" + PORT,
        world.discovery().address(name, further),
        stream.bits(),
        sockets,
        known);
  }

  @Override
  public void crash(long downFor) {
    if (program != null && program.alive()) {
      end();
      processes.forEach(one -> one.program.kill());
      closeDoor();
      world.loadBalancer().processFailed(name);
      world.publish(new Event.ProxyKilled(name, false));
    }
    world.agenda().after(downFor, () -> start(false));
  }

  @Override
  public void losePower(long downFor) {
    machine.darken();
    crash(downFor);
    world.agenda().after(downFor, machine::lighten);
  }

  @Override
  public void restart() {
    if (!serving()) {
      return;
    }
    stopping = true;
    process.terminated = true;
    world.publish(new Event.ProxyTerminated(name));
    world.loadBalancer().shutdownStarted(name);
    Program life = program;
    Proxy stopped = proxy;
    kill = world.agenda().after(stream.micros(KILL_LEAST, KILL_MOST), () -> overdue(life));
    program.later(
        0,
        () -> {
          long limit = stopped.drain(() -> exit(life));
          life.later(limit, () -> exit(life));
        });
  }

  @Override
  public void standby(long awayFor) {
    if (!serving()) {
      return;
    }
    if (joining != null && joining.sharesBudgets()) {
      proxy.requestStandby(
          yes -> {
            if (yes) {
              away(awayFor);
            } else {
              world.publish(new Event.ProxyPutOff(name));
            }
          });
      return;
    }
    away(awayFor);
    proxy.enterStandby();
  }

  /** Its clients are sent away from here on. */
  private void away(long awayFor) {
    Program life = program;
    world.publish(new Event.ProxyOnStandby(name));
    world.loadBalancer().shutdownStarted(name);
    world
        .agenda()
        .after(
            awayFor,
            () -> {
              if (serving() && program == life) {
                proxy.activate();
                world.publish(new Event.ProxyCalledBack(name));
                world.loadBalancer().returnedToService(name);
              }
            });
  }

  private void exit(Program life) {
    if (life.alive()) {
      kill.cancel();
      end();
      life.exit();
      closeDoor();
      // One that was succeeded between SIGTERM and its end leaves a proxy that lives.
      if (life == program) {
        world.publish(new Event.ProxyExited(name, 0));
      }
      world.agenda().after(stream.micros(RESTART_LEAST, RESTART_MOST), () -> start(false));
    }
  }

  private void overdue(Program life) {
    if (life.alive()) {
      end();
      life.kill();
      closeDoor();
      world.publish(new Event.ProxyKilled(name, true));
      world.agenda().after(stream.micros(RESTART_LEAST, RESTART_MOST), () -> start(false));
    }
  }

  private void end() {
    known = world.discovery().list(name);
    stopping = true;
  }

  @Override
  public void hangUp(int further) {
    if (serving()) {
      world.publish(new Event.ProxyHungUp(name, further > 0));
      if (!reload(config(further))) {
        throw new IllegalStateException(name + " cannot read its own configuration");
      }
    }
  }

  @Override
  public void hangUpDamaged() {
    if (serving()) {
      reload(ProxyConfig.damaged(config(1)));
    }
  }

  /** False where the text cannot be used, and nothing of it is. */
  private boolean reload(String text) {
    try {
      Config next = Config.of(text);
      // An upgrade's other process reads the same file.
      processes.stream()
          .filter(one -> one.program.alive() && one.proxy != null)
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
  public void sockets(int limit) {
    sockets = limit;
  }
}
