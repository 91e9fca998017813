package brassbank.lab;

import brassbank.shares.LeaseSettings;
import brassbank.sim.actor.ProxyInstance;
import brassbank.sim.actor.Site;
import brassbank.sim.actor.World;
import brassbank.sim.event.Event;
import brassbank.sim.fault.Plan;
import brassbank.sim.net.DatagramSocket;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.ListeningSocket;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.proxy.ProxyConfig;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * A proxy whose process the operating system runs. Its machine in the simulated network holds a
 * stand-in that passes on, connection by connection, what comes for the process and what comes from
 * it. The lives of the process follow the same times as in virtual time.
 */
final class RealProxy implements ProxyInstance {
  private static final int PORT = 7_070;
  private static final int BACKLOG = 1_024;
  private static final long MILLI = Agenda.MILLI;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** SIGKILL comes no earlier than this after SIGTERM, and may come later. */
  private static final long KILL_LEAST = 3_700 * MILLI;

  private static final long KILL_MOST = 4_200 * MILLI;
  private static final long RESTART_LEAST = 200 * MILLI;
  private static final long RESTART_MOST = 1_500 * MILLI;

  /** DAYS, Upgrades: the new process has so long to say yes. */
  private static final long YES_WITHIN_MILLIS = 6_000;

  private static final long ASK_EVERY_MILLIS = 20;
  private static final long START_WITHIN_MILLIS = 30_000;

  /** What a process wrote before its end has passed the lab by then. */
  private static final long LAST_WORDS = 50 * MILLI;

  /** A signal takes this long at most, and the process to run again. */
  private static final long SIGNAL = 10 * MILLI;

  /** Its view of the fleet is asked for this often. */
  private static final long VIEW_EVERY = 100 * MILLI;

  /** The file of what the platform's configuration does not know. */
  private static final String OWN = "own.toml";

  /** What all proxies of a lab share. */
  record Lab(
      Turner turner,
      Helpers helpers,
      Guard guard,
      Loopback loopback,
      Tamper tamper,
      Path root,
      Path folder,
      Path logs) {}

  private final Lab lab;
  private final World world;
  private final Site told;
  private final String name;
  private final int rank;
  private final Machine machine;
  private final InetSocketAddress address;
  private final RandomStreams.Stream stream;
  private final ByteBuffer scratch;
  private final List<Door> doors = new ArrayList<>();
  private DatagramDoor datagramDoor;
  private final Map<Machine, RealProxy> others = new LinkedHashMap<>();
  private final Set<Splice> splices = new LinkedHashSet<>();

  /** Both are read by the meter's thread as well, and change seldom. */
  private final List<ProxyProcess> processes = new CopyOnWriteArrayList<>();

  private final List<Path> logs = new CopyOnWriteArrayList<>();
  private final InheritedListener listener;

  private ProxyProcess process;
  private Program program;
  private DatagramSocket datagrams;
  private String known;
  private boolean stopping;
  private boolean listening;
  private int started;
  private long life;

  /** Where it looks for its fleet; null where it is in none. */
  private List<RealProxy> seeds;

  private long viewProcess;
  private long viewVersion;
  private long pausedUntil;
  private Agenda.Entry kill;
  private volatile int descriptors;

  RealProxy(
      Lab lab,
      World world,
      Site told,
      String name,
      int rank,
      Machine machine,
      boolean inherits,
      ByteBuffer scratch) {
    this.lab = lab;
    this.world = world;
    this.told = told;
    this.name = name;
    this.rank = rank;
    this.machine = machine;
    this.scratch = scratch;
    lab.loopback().rank(name, rank);
    address = lab.loopback().address(name, machine);
    stream = world.draws().of("proxy " + name);
    try {
      Files.createDirectories(folder().resolve("tmp"));
      listener = inherits ? new InheritedListener(address) : null;
    } catch (IOException e) {
      throw new LabException("no place for " + name + ": " + e.getMessage(), e);
    }
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public Machine machine() {
    return machine;
  }

  /** Where its process listens. */
  InetSocketAddress address() {
    return address;
  }

  /** Where its process meets another proxy's streams. */
  InetSocketAddress seen(RealProxy other) {
    return lab.loopback().address(name, other.machine);
  }

  /** Where all others meet it for datagrams. */
  InetSocketAddress common() {
    return lab.loopback().common(name);
  }

  /** The files its processes have logged to, the oldest first. */
  List<Path> logs() {
    return logs;
  }

  /** Its processes that live. */
  List<ProxyProcess> processes() {
    return List.copyOf(processes);
  }

  /** Whether its process takes connections. */
  boolean listening() {
    return listening;
  }

  private Path folder() {
    return lab.folder().resolve(name);
  }

  // ------------------------------------------------------------------- doors

  /** It meets this machine at this port; to be said before its first start. */
  void meets(Machine other, int port) {
    Door[] door = new Door[1];
    door[0] =
        new Door(
            lab.turner(),
            world.fabric(),
            machine,
            other,
            port,
            lab.loopback().address(name, other),
            channel -> opened(channel, door[0]));
    doors.add(door[0]);
  }

  /** It is met for datagrams by all of these; to be said before its first start. */
  void speaksWith(Map<SocketAddress, RealProxy> all) throws IOException {
    datagramDoor =
        new DatagramDoor(
            lab.turner(),
            common(),
            (from, bytes) -> {
              RealProxy sender = all.get(from);
              if (sender != null) {
                sender.says(machine, bytes);
              }
            });
    all.values().forEach(other -> others.put(other.machine, other));
  }

  private void says(Machine to, byte[] bytes) {
    if (datagrams != null && bytes.length <= DatagramSocket.MAX_BYTES) {
      for (int i = lab.tamper().copies(name); i > 0; i--) {
        datagrams.send(to, PORT, bytes);
      }
    }
  }

  private void hear() {
    try {
      datagrams =
          program.openDatagramSocket(
              PORT,
              (from, port, bytes) -> {
                RealProxy sender = others.get(from);
                if (sender != null) {
                  sender.datagramDoor.deliver(address, bytes);
                }
              });
    } catch (IOException e) {
      throw new LabException("the stand-in of " + name + " takes no datagrams", e);
    }
  }

  List<Door> doors() {
    return doors;
  }

  /** The process has opened a connection. */
  private void opened(SocketChannel channel, Door door) {
    if (program == null || !program.isAlive()) {
      Splice.reset(channel);
      return;
    }
    program.connect(
        new InetSocketAddress(lab.tamper().meant(door.to()).address(), door.port()),
        new Program.ConnectHandler() {
          @Override
          public void connected(Endpoint endpoint) {
            join(channel, endpoint, lab.tamper()::said);
          }

          @Override
          public void failed(IOException cause) {
            Splice.reset(channel);
          }
        });
  }

  private void join(SocketChannel channel, Endpoint endpoint, UnaryOperator<byte[]> tampering) {
    Splice splice = new Splice(channel, endpoint, scratch, tampering, splices::remove);
    splices.add(splice);
    splice.begin(lab.turner());
  }

  /** Somebody of the site has connected to the proxy. */
  private void take(ListeningSocket port) {
    Endpoint endpoint = port.accept();
    if (endpoint == null) {
      return;
    }
    try {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      if (channel.connect(address)) {
        join(channel, endpoint, UnaryOperator.identity());
      } else {
        lab.turner()
            .register(channel, SelectionKey.OP_CONNECT, key -> connected(channel, endpoint, key));
      }
    } catch (IOException e) {
      endpoint.reset();
    }
  }

  private void connected(SocketChannel channel, Endpoint endpoint, SelectionKey key) {
    try {
      channel.finishConnect();
      key.interestOps(0);
      join(channel, endpoint, UnaryOperator.identity());
    } catch (IOException e) {
      Splice.reset(channel);
      endpoint.reset();
    }
  }

  private void open() {
    if (listening || program == null || !program.isAlive()) {
      return;
    }
    listening = true;
    ListeningSocket[] port = new ListeningSocket[1];
    try {
      port[0] = program.listen(PORT, BACKLOG, () -> take(port[0]));
    } catch (IOException e) {
      throw new LabException("the stand-in of " + name + " cannot listen", e);
    }
  }

  // ------------------------------------------------------------------- lives

  @Override
  public void start(boolean atOnce) {
    if (program != null && program.isAlive()) {
      return;
    }
    if (known == null) {
      known = world.discovery().list(name);
    }
    world.discovery().resetReported(name, true);
    stopping = false;
    listening = false;
    program = new Program(machine, name, 0, Integer.MAX_VALUE).asRelay();
    if (datagrams == null || !lab.tamper().keepsClientsOf(name)) {
      hear();
    }
    world.publish(new Event.ProxyStarted(name));
    world
        .loadBalancer()
        .processStarted(name, machine, new InetSocketAddress(machine.address(), PORT));
    long now = ++life;
    List<ProxyProcess> before = List.copyOf(processes);
    spawn(
        before,
        next -> {
          if (life != now) {
            end(next);
            return;
          }
          process = next;
          lab.helpers()
              .apart(
                  () -> listens(next),
                  up -> {
                    if (life == now && up) {
                      open();
                    }
                  },
                  this::lost);
        });
  }

  /** Writes the file and starts a process, once those before it have given their place free. */
  private void spawn(List<ProxyProcess> before, Consumer<ProxyProcess> then) {
    String text = config(0);
    int number = ++started;
    Path log = lab.logs().resolve(name + "-" + number + ".log");
    logs.add(log);
    InetSocketAddress management = lab.loopback().management(name, number);
    Map<String, String> variables = new LinkedHashMap<>();
    variables.put("LB_CONFIG", folder().resolve("config.json").toString());
    variables.put(
        "LB_MANAGEMENT", management.getAddress().getHostAddress() + ":" + management.getPort());
    List<String> arguments =
        seeds == null ? List.of() : List.of("--config", folder().resolve(OWN).toString());
    variables.put("TMPDIR", folder().resolve("tmp").toString());
    lab.helpers()
        .apart(
            () -> {
              for (ProxyProcess one : before) {
                one.join();
              }
              write(text);
              return ProxyProcess.start(
                  number, lab.root(), log, variables, arguments, listener, lab.guard());
            },
            next -> {
              processes.add(next);
              next.whenEnded(() -> lab.turner().post(() -> ended(next)));
              then.accept(next);
            },
            this::lost);
  }

  private boolean listens(ProxyProcess next) throws IOException {
    InetSocketAddress management = lab.loopback().management(name, next.number());
    if (!becomes(
        next,
        START_WITHIN_MILLIS,
        () -> listener == null ? Call.listens(address) : saysYes(management))) {
      if (next.alive()) {
        throw new IOException("it does not listen");
      }
      return false;
    }
    return true;
  }

  /** Asks again and again, for so long and while the process lives; on a helper's thread. */
  private boolean becomes(ProxyProcess next, long millis, BooleanSupplier asked) {
    long until = lab.turner().nanos() + millis * NANOS_PER_MILLI;
    while (next.alive() && lab.turner().nanos() < until) {
      if (asked.getAsBoolean()) {
        return true;
      }
      Helpers.pause(ASK_EVERY_MILLIS);
    }
    return false;
  }

  private static boolean saysYes(InetSocketAddress management) {
    try {
      return Call.yes(management, "GET", "/status");
    } catch (IOException e) {
      return false;
    }
  }

  private void lost(Exception cause) {
    world.publish(new Event.ProxyFailed(name, "the lab could not go on with it: " + cause));
  }

  private String config(int further) {
    return ProxyConfig.text(
        told,
        name,
        rank,
        machine.zone(),
        address.getAddress().getHostAddress() + ":" + address.getPort(),
        world.discovery().address(name, further),
        stream.bits(),
        world.site().sockets(),
        known);
  }

  /** At once for whoever reads: the file is never seen half written. */
  private void write(String text) throws IOException {
    Path file = folder().resolve("config.json");
    Path next = folder().resolve("config.json.next");
    Files.writeString(next, text);
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  private void end(ProxyProcess one) {
    one.expectEnd();
    if (one.alive()) {
      lab.guard().signal("KILL", one.pid());
    }
  }

  /** A process has ended, by itself or not. */
  private void ended(ProxyProcess one) {
    processes.remove(one);
    lab.guard().drop(one.pid());
    if (one == process && listening && processes.isEmpty()) {
      List.copyOf(splices).forEach(Splice::fromReal);
    }
    if (!one.endExpected()) {
      world.publish(
          new Event.ProxyFailed(
              name, "process " + one.number() + " ended by itself, status " + one.exitStatus()));
    }
    if (one == process && stopping && kill != null && program.isAlive()) {
      int status = one.exitStatus();
      kill.cancel();
      program.stopListening();
      world.agenda().after(LAST_WORDS, () -> exited(status));
    }
  }

  private void exited(int status) {
    known = world.discovery().list(name);
    kill = null;
    program.exit();
    life++;
    world.publish(new Event.ProxyExited(name, status));
    world.agenda().after(stream.micros(RESTART_LEAST, RESTART_MOST), () -> start(false));
  }

  // -------------------------------------------------------------- membership

  /** Its processes share the fleet's budgets, and leave in turn. */
  private boolean sharing;

  /** Its processes join a fleet, which they look for at these proxies' places. */
  void joins(List<RealProxy> others, Plan plan) throws IOException {
    seeds = List.copyOf(others);
    sharing = plan.sharesBudgets();
    StringBuilder text = new StringBuilder("[membership]\nfleet = \"lab\"\n");
    text.append("advertise = \"").append(text(common())).append("\"\nseeds = [");
    seeds.forEach(other -> text.append('"').append(text(other.common())).append("\","));
    text.append("]\n");
    if (plan.sharesBudgets()) {
      text.append("[shares]\nbase = ").append(LeaseSettings.DEFAULT_BASE_SHARE).append('\n');
    }
    if (plan.usesSubsets()) {
      text.append("[subsets]\naskers = ").append(plan.minProxiesPerHost()).append('\n');
    }
    Files.writeString(folder().resolve(OWN), text.toString());
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Asks its process whom it sees, again and again, from the start on. */
  void watchView() {
    ProxyProcess asked = process;
    if (asked == null || !listening || !asked.alive()) {
      world.agenda().after(VIEW_EVERY, this::watchView);
      return;
    }
    InetSocketAddress management = lab.loopback().management(name, asked.number());
    lab.helpers()
        .apart(
            () -> SeenView.of(name, asked.number(), Call.text(management, "/members")),
            view -> {
              if (view != null
                  && asked == process
                  && (view.process() != viewProcess || view.version() != viewVersion)) {
                viewProcess = view.process();
                viewVersion = view.version();
                world.publish(view);
              }
              world.agenda().after(VIEW_EVERY, this::watchView);
            },
            gone -> world.agenda().after(VIEW_EVERY, this::watchView));
  }

  @Override
  public boolean isMember() {
    return seeds != null && serving();
  }

  private boolean serving() {
    return listening && !stopping && process != null && process.alive();
  }

  // ------------------------------------------------------------------ faults

  @Override
  public void crash(long downFor) {
    if (program != null && program.isAlive()) {
      known = world.discovery().list(name);
      stopping = true;
      listening = false;
      life++;
      if (lab.tamper().keepsClientsOf(name)) {
        program.stopListening();
        program = null;
      } else {
        processes.forEach(this::end);
        program.kill();
        List.copyOf(splices).forEach(splice -> splice.abandon(lab.turner()));
      }
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
    if (!serving()) {
      return;
    }
    stopping = true;
    ProxyProcess old = process;
    old.expectEnd();
    world.publish(new Event.ProxyTerminated(name));
    world.loadBalancer().shutdownStarted(name);
    kill = world.agenda().after(stream.micros(KILL_LEAST, KILL_MOST), () -> overdue(old));
    lab.guard().signal("TERM", old.pid());
  }

  private void overdue(ProxyProcess old) {
    if (old.alive()) {
      known = world.discovery().list(name);
      kill = null;
      life++;
      end(old);
      program.kill();
      List.copyOf(splices).forEach(Splice::breakBoth);
      world.publish(new Event.ProxyKilled(name, true));
      world.agenda().after(stream.micros(RESTART_LEAST, RESTART_MOST), () -> start(false));
    }
  }

  @Override
  public void standby(long awayFor) {
    if (!serving()) {
      return;
    }
    ProxyProcess called = process;
    InetSocketAddress management = lab.loopback().management(name, called.number());
    if (sharing) {
      lab.helpers()
          .apart(
              () -> Call.yes(management, "PUT", "/standby"),
              yes -> {
                if (yes) {
                  away(called, management, awayFor);
                } else {
                  world.publish(new Event.ProxyPutOff(name));
                }
              },
              this::lost);
      return;
    }
    away(called, management, awayFor);
    call(management, "/standby", () -> {});
  }

  /** Its clients are sent away from here on. */
  private void away(ProxyProcess called, InetSocketAddress management, long awayFor) {
    world.publish(new Event.ProxyOnStandby(name));
    world.loadBalancer().shutdownStarted(name);
    world
        .agenda()
        .after(
            awayFor,
            () -> {
              if (serving() && process == called) {
                call(
                    management,
                    "/active",
                    () -> {
                      world.publish(new Event.ProxyCalledBack(name));
                      world.loadBalancer().returnedToService(name);
                    });
              }
            });
  }

  private void call(InetSocketAddress management, String path, Runnable then) {
    lab.helpers()
        .apart(
            () -> Call.yes(management, "PUT", path),
            yes -> {
              if (yes) {
                then.run();
              } else {
                world.publish(new Event.ProxyFailed(name, "PUT " + path + " was answered no"));
              }
            },
            this::lost);
  }

  @Override
  public void upgrade() {
    if (listener == null || !serving() || processes.size() > 1) {
      return;
    }
    ProxyProcess old = process;
    long now = life;
    spawn(
        List.of(),
        next ->
            lab.helpers()
                .apart(
                    () -> upgraded(next),
                    yes -> {
                      if (life != now) {
                        end(next);
                      } else if (yes && old.alive()) {
                        process = next;
                        leave(old);
                      } else {
                        end(next);
                      }
                    },
                    this::lost));
  }

  private boolean upgraded(ProxyProcess next) {
    InetSocketAddress management = lab.loopback().management(name, next.number());
    return becomes(next, YES_WITHIN_MILLIS, () -> saysYes(management));
  }

  private void leave(ProxyProcess old) {
    old.expectEnd();
    lab.guard().signal("TERM", old.pid());
    world
        .agenda()
        .after(
            stream.micros(KILL_LEAST, KILL_MOST),
            () -> {
              if (old.alive()) {
                end(old);
                world.publish(new Event.ProxyKilled(name, true));
              }
            });
  }

  @Override
  public void hangUp(int further) {
    if (serving()) {
      hangUp(config(further), () -> world.publish(new Event.ProxyHungUp(name, further > 0)));
    }
  }

  @Override
  public void hangUpDamaged() {
    if (serving()) {
      hangUp(ProxyConfig.truncated(config(1)), () -> {});
    }
  }

  private void hangUp(String text, Runnable sent) {
    ProxyProcess asked = process;
    lab.helpers()
        .apart(
            () -> {
              write(text);
              return true;
            },
            done -> {
              if (asked.alive()) {
                sent.run();
                processes.forEach(one -> lab.guard().signal("HUP", one.pid()));
              }
            },
            this::lost);
  }

  @Override
  public void stepClock(long millis) {
    throw new LabException("the clock of one process cannot be stepped on a machine of many");
  }

  @Override
  public void pause(long micros) {
    List<ProxyProcess> stopped = List.copyOf(processes);
    if (stopped.isEmpty()) {
      return;
    }
    long until = world.now() + micros;
    pausedUntil = Math.max(pausedUntil, until + SIGNAL);
    stopped.forEach(one -> lab.guard().signal("STOP", one.pid()));
    world
        .agenda()
        .at(
            until,
            () -> {
              if (world.now() + SIGNAL >= pausedUntil) {
                stopped.stream()
                    .filter(ProxyProcess::alive)
                    .forEach(one -> lab.guard().signal("CONT", one.pid()));
              }
            });
  }

  @Override
  public long pausedUntil() {
    return pausedUntil;
  }

  @Override
  public int descriptors() {
    return descriptors;
  }

  /** What the system has counted; from any thread. */
  void descriptors(int counted) {
    descriptors = counted;
  }

  /** Ends what lives of it. */
  void close() {
    processes.forEach(this::end);
    List.copyOf(splices).forEach(Splice::breakBoth);
    try {
      for (Door door : doors) {
        door.close();
      }
      if (datagramDoor != null) {
        datagramDoor.close();
      }
      if (listener != null) {
        listener.close();
      }
    } catch (IOException e) {
      throw new LabException("a socket of " + name + " cannot be closed", e);
    }
  }
}
