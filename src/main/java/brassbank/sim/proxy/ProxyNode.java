package brassbank.sim.proxy;

import brassbank.config.Config;
import brassbank.config.ConfigException;
import brassbank.net.Network;
import brassbank.proxy.Proxy;
import brassbank.sim.actor.Site;
import brassbank.sim.actor.World;
import brassbank.sim.event.Event;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.Draws;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.UnaryOperator;

/**
 * One proxy of the site, through the lives of its process: started from nothing, killed, stopped as
 * planned, told to read its configuration again. What runs in it is the program's own {@link
 * Proxy}.
 */
public final class ProxyNode {
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

  private final World world;
  private final Site told;
  private final String name;
  private final int rank;
  private final Machine machine;
  private final InetSocketAddress address;
  private final UnaryOperator<Network> wrapping;
  private final Draws.Stream stream;
  private int sockets;
  private int lives;
  private int moves;
  private String known;
  private Program program;
  private SimClock clock;
  private Proxy proxy;
  private Agenda.Entry kill;
  private boolean stopping;
  private long pausedUntil;

  /**
   * @param told the site as the proxy's settings tell it
   * @param wrapping put round the network of each of its lives; the tests plant bugs here
   */
  public ProxyNode(
      World world,
      Site told,
      String name,
      int rank,
      Machine machine,
      UnaryOperator<Network> wrapping) {
    this.world = world;
    this.told = told;
    this.name = name;
    this.rank = rank;
    this.machine = machine;
    this.wrapping = wrapping;
    this.sockets = world.site().sockets();
    this.address = new InetSocketAddress(machine.address(), PORT);
    this.stream = world.draws().of("proxy " + name);
  }

  public String name() {
    return name;
  }

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

  /** Starts its process from nothing; {@code at once} leaves its boot time out. */
  public void start(boolean atOnce) {
    if (program != null && program.alive()) {
      return;
    }
    if (known == null) {
      known = world.discovery().list();
    }
    world.discovery().knows(name, true);
    stopping = false;
    proxy = null;
    lives++;
    program = new Program(machine, name, RUNTIME, sockets);
    clock = new SimClock(world.agenda(), stream.bits() >>> 8, World.EPOCH_MILLIS);
    world.tell(new Event.ProxyStarted(name));
    program.later(atOnce ? 0 : stream.micros(BOOT_LEAST, BOOT_MOST), this::serve);
    world.front().started(name, machine, address);
  }

  private void serve() {
    Network network =
        wrapping.apply(
            new SimNetwork(
                program, clock, held -> world.tell(new Event.DescriptorsExhausted(name, held))));
    try {
      Proxy made = new Proxy(Config.of(config(0)), network);
      made.start();
      proxy = made;
    } catch (ConfigException | IOException e) {
      throw new IllegalStateException("a proxy cannot start: " + e.getMessage(), e);
    }
  }

  private String config(int further) {
    return ProxyConfig.text(
        told,
        name,
        rank,
        machine.zone(),
        machine.address().getHostAddress() + ":" + PORT,
        world.discovery().address(further),
        stream.bits(),
        sockets,
        known);
  }

  /** Kills it outright; it comes again after so many microseconds. */
  public void crash(long downFor) {
    if (program != null && program.alive()) {
      end();
      program.kill();
      world.front().died(name);
      world.tell(new Event.ProxyKilled(name, false));
    }
    world.agenda().after(downFor, () -> start(false));
  }

  /** Its machine loses its power for so long. */
  public void darken(long downFor) {
    machine.darken();
    crash(downFor);
    world.agenda().after(downFor, machine::lighten);
  }

  /** SIGTERM, SIGKILL when its time is over, and a new start. */
  public void restart() {
    if (!serving()) {
      return;
    }
    stopping = true;
    world.tell(new Event.ProxyTerminated(name));
    world.front().stopping(name);
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

  private void exit(Program life) {
    if (life.alive()) {
      kill.cancel();
      end();
      life.exit();
      world.tell(new Event.ProxyExited(name, 0));
      world.agenda().after(stream.micros(RESTART_LEAST, RESTART_MOST), () -> start(false));
    }
  }

  private void overdue(Program life) {
    if (life.alive()) {
      end();
      life.kill();
      world.tell(new Event.ProxyKilled(name, true));
      world.agenda().after(stream.micros(RESTART_LEAST, RESTART_MOST), () -> start(false));
    }
  }

  private void end() {
    known = world.discovery().list();
    stopping = true;
  }

  /** SIGHUP, with this many further addresses of discovery in the new file. */
  public void hangUp(int further) {
    if (serving()) {
      world.tell(new Event.ProxyHungUp(name, further > 0));
      try {
        proxy.reload(Config.of(config(further)));
      } catch (ConfigException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Steps its machine's wall clock. */
  public void stepClock(long millis) {
    if (clock != null) {
      clock.step(millis);
    }
  }

  /** Nothing of it runs for a while, as when its runtime collects garbage. */
  public void pause(long micros) {
    if (program != null) {
      pausedUntil = Math.max(pausedUntil, world.now() + micros);
      program.pause(pausedUntil);
    }
  }

  /** Until when nothing of it runs, or did not run. */
  public long pausedUntil() {
    return pausedUntil;
  }

  /** How many descriptors its configuration states from its next life, or its next SIGHUP. */
  public void sockets(int limit) {
    sockets = limit;
  }
}
