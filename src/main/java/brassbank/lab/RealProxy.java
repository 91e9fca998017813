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
  private static final long MIN_KILL_DELAY_MICROS = 3_700 * MILLI;

  private static final long MAX_KILL_DELAY_MICROS = 4_200 * MILLI;
  private static final long MIN_RESTART_DELAY_MICROS = 200 * MILLI;
  private static final long MAX_RESTART_DELAY_MICROS = 1_500 * MILLI;

  /** DAYS, Upgrades: the new process has so long to say yes. */
  private static final long UPGRADE_TIMEOUT_MILLIS = 6_000;

  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final long START_TIMEOUT_MILLIS = 30_000;

  /** What a process wrote before its end has passed the lab by then. */
  private static final long FINAL_OUTPUT_DELAY_MICROS = 50 * MILLI;

  /** A signal takes this long at most, and the process to run again. */
  private static final long SIGNAL_DELAY_MICROS = 10 * MILLI;

  /** Its view of the fleet is asked for this often. */
  private static final long VIEW_INTERVAL_MICROS = 100 * MILLI;

  /** The file of what the platform's configuration does not know. */
  private static final String SUPPLEMENT_FILE = "own.toml";

  /** What all proxies of a lab share. */
  record SharedContext(
      RealTimeDriver driver,
      BackgroundTasks backgroundTasks,
      Watchdog watchdog,
      LoopbackAddresses loopback,
      LinkTampering tampering,
      Path root,
      Path folder,
      Path logs) {}

  private final SharedContext shared;
  private final World world;
  private final Site site;
  private final String name;
  private final int rank;
  private final Machine machine;
  private final InetSocketAddress address;
  private final RandomStreams.Stream stream;
  private final ByteBuffer scratch;
  private final List<ProxiedPort> ports = new ArrayList<>();
  private ProxiedDatagramPort datagramPort;
  private final Map<Machine, RealProxy> peers = new LinkedHashMap<>();
  private final Set<SocketBridge> bridges = new LinkedHashSet<>();

  /** Both are read by the meter's thread as well, and change seldom. */
  private final List<ProxyProcess> processes = new CopyOnWriteArrayList<>();

  private final List<Path> logs = new CopyOnWriteArrayList<>();
  private final InheritedListener listener;

  private ProxyProcess process;
  private Program program;
  private DatagramSocket datagrams;
  private String lastKnownList;
  private boolean stopping;
  private boolean isListening;
  private int startedProcesses;
  private long incarnation;

  /** Where it looks for its fleet; null where it is in none. */
  private List<RealProxy> seeds;

  private long viewProcess;
  private long viewVersion;
  private long pausedUntil;
  private Agenda.Entry killTimer;
  private volatile int descriptors;

  RealProxy(
      SharedContext lab,
      World world,
      Site told,
      String name,
      int rank,
      Machine machine,
      boolean inherits,
      ByteBuffer scratch) {
    this.shared = lab;
    this.world = world;
    this.site = told;
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
  InetSocketAddress peerAddress(RealProxy other) {
    return shared.loopback().address(name, other.machine);
  }

  /** Where all others meet it for datagrams. */
  InetSocketAddress datagramAddress() {
    return shared.loopback().datagramAddress(name);
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
  boolean isListening() {
    return isListening;
  }

  private Path folder() {
    return shared.folder().resolve(name);
  }

  // ------------------------------------------------------------------- doors

  /** It meets this machine at this port; to be said before its first start. */
  void addPort(Machine other, int port) {
    ProxiedPort[] door = new ProxiedPort[1];
    door[0] =
        new ProxiedPort(
            shared.driver(),
            world.fabric(),
            machine,
            other,
            port,
            shared.loopback().address(name, other),
            channel -> onProcessConnect(channel, door[0]));
    ports.add(door[0]);
  }

  /** It is met for datagrams by all of these; to be said before its first start. */
  void openDatagramPort(Map<SocketAddress, RealProxy> all) throws IOException {
    datagramPort =
        new ProxiedDatagramPort(
            shared.driver(),
            datagramAddress(),
            (from, bytes) -> {
              RealProxy sender = all.get(from);
              if (sender != null) {
                sender.sendDatagram(machine, bytes);
              }
            });
    all.values().forEach(other -> peers.put(other.machine, other));
  }

  private void sendDatagram(Machine to, byte[] bytes) {
    if (datagrams != null && bytes.length <= DatagramSocket.MAX_BYTES) {
      for (int i = shared.tampering().datagramCopies(name); i > 0; i--) {
        datagrams.send(to, PORT, bytes);
      }
    }
  }

  private void openStandInDatagrams() {
    try {
      datagrams =
          program.openDatagramSocket(
              PORT,
              (from, port, bytes) -> {
                RealProxy sender = peers.get(from);
                if (sender != null) {
                  sender.datagramPort.deliver(address, bytes);
                }
              });
    } catch (IOException e) {
      throw new LabException("the stand-in of " + name + " takes no datagrams", e);
    }
  }

  List<ProxiedPort> ports() {
    return ports;
  }

  /** The process has opened a connection. */
  private void onProcessConnect(SocketChannel channel, ProxiedPort door) {
    if (program == null || !program.isAlive()) {
      SocketBridge.reset(channel);
      return;
    }
    program.connect(
        new InetSocketAddress(shared.tampering().redirect(door.to()).address(), door.port()),
        new Program.ConnectHandler() {
          @Override
          public void connected(Endpoint endpoint) {
            bridge(channel, endpoint, shared.tampering()::alter);
          }

          @Override
          public void failed(IOException cause) {
            SocketBridge.reset(channel);
          }
        });
  }

  private void bridge(SocketChannel channel, Endpoint endpoint, UnaryOperator<byte[]> tampering) {
    SocketBridge splice = new SocketBridge(channel, endpoint, scratch, tampering, bridges::remove);
    bridges.add(splice);
    splice.start(shared.driver());
  }

  /** Somebody of the site has connected to the proxy. */
  private void acceptFromNetwork(ListeningSocket port) {
    Endpoint endpoint = port.accept();
    if (endpoint == null) {
      return;
    }
    try {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      if (channel.connect(address)) {
        bridge(channel, endpoint, UnaryOperator.identity());
      } else {
        shared
            .driver()
            .register(channel, SelectionKey.OP_CONNECT, key -> onConnected(channel, endpoint, key));
      }
    } catch (IOException e) {
      endpoint.reset();
    }
  }

  private void onConnected(SocketChannel channel, Endpoint endpoint, SelectionKey key) {
    try {
      channel.finishConnect();
      key.interestOps(0);
      bridge(channel, endpoint, UnaryOperator.identity());
    } catch (IOException e) {
      SocketBridge.reset(channel);
      endpoint.reset();
    }
  }

  private void startListening() {
    if (isListening || program == null || !program.isAlive()) {
      return;
    }
    isListening = true;
    ListeningSocket[] port = new ListeningSocket[1];
    try {
      port[0] = program.listen(PORT, BACKLOG, () -> acceptFromNetwork(port[0]));
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
    if (lastKnownList == null) {
      lastKnownList = world.discovery().list(name);
    }
    world.discovery().resetReported(name, true);
    stopping = false;
    isListening = false;
    program = new Program(machine, name, 0, Integer.MAX_VALUE).asRelay();
    if (datagrams == null || !shared.tampering().survivesKill(name)) {
      openStandInDatagrams();
    }
    world.publish(new Event.ProxyStarted(name));
    world
        .loadBalancer()
        .processStarted(name, machine, new InetSocketAddress(machine.address(), PORT));
    long now = ++incarnation;
    List<ProxyProcess> before = List.copyOf(processes);
    spawn(
        before,
        next -> {
          if (incarnation != now) {
            killProcess(next);
            return;
          }
          process = next;
          shared
              .backgroundTasks()
              .submit(
                  () -> awaitListening(next),
                  up -> {
                    if (incarnation == now && up) {
                      startListening();
                    }
                  },
                  this::reportFailure);
        });
  }

  /** Writes the file and starts a process, once those before it have given their place free. */
  private void spawn(List<ProxyProcess> before, Consumer<ProxyProcess> then) {
    String text = config(0);
    int number = ++startedProcesses;
    Path log = shared.logs().resolve(name + "-" + number + ".log");
    logs.add(log);
    InetSocketAddress management = shared.loopback().management(name, number);
    Map<String, String> variables = new LinkedHashMap<>();
    variables.put("LB_CONFIG", folder().resolve("config.json").toString());
    variables.put(
        "LB_MANAGEMENT", management.getAddress().getHostAddress() + ":" + management.getPort());
    List<String> arguments =
        seeds == null
            ? List.of()
            : List.of("--config", folder().resolve(SUPPLEMENT_FILE).toString());
    variables.put("TMPDIR", folder().resolve("tmp").toString());
    shared
        .backgroundTasks()
        .submit(
            () -> {
              for (ProxyProcess one : before) {
                one.awaitExit();
              }
              writeConfig(text);
              return ProxyProcess.start(
                  number, shared.root(), log, variables, arguments, listener, shared.watchdog());
            },
            next -> {
              processes.add(next);
              next.onExit(() -> shared.driver().post(() -> onProcessExit(next)));
              then.accept(next);
            },
            this::reportFailure);
  }

  private boolean awaitListening(ProxyProcess next) throws IOException {
    InetSocketAddress management = shared.loopback().management(name, next.number());
    if (!poll(
        next,
        START_TIMEOUT_MILLIS,
        () -> listener == null ? ManagementCall.isListening(address) : isReady(management))) {
      if (next.isAlive()) {
        throw new IOException("it does not listen");
      }
      return false;
    }
    return true;
  }

  /** Asks again and again, for so long and while the process lives; on a helper's thread. */
  private boolean poll(ProxyProcess next, long millis, BooleanSupplier asked) {
    long until = shared.driver().nanos() + millis * NANOS_PER_MILLI;
    while (next.isAlive() && shared.driver().nanos() < until) {
      if (asked.getAsBoolean()) {
        return true;
      }
      BackgroundTasks.sleep(POLL_INTERVAL_MILLIS);
    }
    return false;
  }

  private static boolean isReady(InetSocketAddress management) {
    try {
      return ManagementCall.isAccepted(management, "GET", "/status");
    } catch (IOException e) {
      return false;
    }
  }

  private void reportFailure(Exception cause) {
    world.publish(new Event.ProxyFailed(name, "the lab could not go on with it: " + cause));
  }

  private String config(int further) {
    return ProxyConfig.text(
        site,
        name,
        rank,
        machine.zone(),
        address.getAddress().getHostAddress() + ":" + address.getPort(),
        world.discovery().address(name, further),
        stream.bits(),
        world.site().sockets(),
        lastKnownList);
  }

  /** At once for whoever reads: the file is never seen half written. */
  private void writeConfig(String text) throws IOException {
    Path file = folder().resolve("config.json");
    Path next = folder().resolve("config.json.next");
    Files.writeString(next, text);
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  private void killProcess(ProxyProcess one) {
    one.expectExit();
    if (one.isAlive()) {
      shared.watchdog().signal("KILL", one.pid());
    }
  }

  /** A process has ended, by itself or not. */
  private void onProcessExit(ProxyProcess one) {
    processes.remove(one);
    shared.watchdog().untrack(one.pid());
    if (one == process && isListening && processes.isEmpty()) {
      List.copyOf(bridges).forEach(SocketBridge::readFromProcess);
    }
    if (!one.isExitExpected()) {
      world.publish(
          new Event.ProxyFailed(
              name, "process " + one.number() + " ended by itself, status " + one.exitStatus()));
    }
    if (one == process && stopping && killTimer != null && program.isAlive()) {
      int status = one.exitStatus();
      killTimer.cancel();
      program.stopListening();
      world.agenda().after(FINAL_OUTPUT_DELAY_MICROS, () -> onPlannedExit(status));
    }
  }

  private void onPlannedExit(int status) {
    lastKnownList = world.discovery().list(name);
    killTimer = null;
    program.exit();
    incarnation++;
    world.publish(new Event.ProxyExited(name, status));
    world
        .agenda()
        .after(
            stream.micros(MIN_RESTART_DELAY_MICROS, MAX_RESTART_DELAY_MICROS), () -> start(false));
  }

  // -------------------------------------------------------------- membership

  /** Its processes share the fleet's budgets, and leave in turn. */
  private boolean sharesBudgets;

  /** Its processes join a fleet, which they look for at these proxies' places. */
  void joinFleet(List<RealProxy> others, Plan plan) throws IOException {
    seeds = List.copyOf(others);
    sharesBudgets = plan.sharesBudgets();
    StringBuilder text = new StringBuilder("[membership]\nfleet = \"lab\"\n");
    text.append("advertise = \"").append(text(datagramAddress())).append("\"\nseeds = [");
    seeds.forEach(other -> text.append('"').append(text(other.datagramAddress())).append("\","));
    text.append("]\n");
    if (plan.sharesBudgets()) {
      text.append("[shares]\nbase = ").append(LeaseSettings.DEFAULT_BASE_SHARE).append('\n');
    }
    if (plan.usesSubsets()) {
      text.append("[subsets]\naskers = ").append(plan.minProxiesPerHost()).append('\n');
    }
    Files.writeString(folder().resolve(SUPPLEMENT_FILE), text.toString());
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Asks its process whom it sees, again and again, from the start on. */
  void watchView() {
    ProxyProcess asked = process;
    if (asked == null || !isListening || !asked.isAlive()) {
      world.agenda().after(VIEW_INTERVAL_MICROS, this::watchView);
      return;
    }
    InetSocketAddress management = shared.loopback().management(name, asked.number());
    shared
        .backgroundTasks()
        .submit(
            () ->
                MemberViewParser.parse(
                    name, asked.number(), ManagementCall.fetchText(management, "/members")),
            view -> {
              if (view != null
                  && asked == process
                  && (view.process() != viewProcess || view.version() != viewVersion)) {
                viewProcess = view.process();
                viewVersion = view.version();
                world.publish(view);
              }
              world.agenda().after(VIEW_INTERVAL_MICROS, this::watchView);
            },
            gone -> world.agenda().after(VIEW_INTERVAL_MICROS, this::watchView));
  }

  @Override
  public boolean isMember() {
    return seeds != null && isServing();
  }

  private boolean isServing() {
    return isListening && !stopping && process != null && process.isAlive();
  }

  // ------------------------------------------------------------------ faults

  @Override
  public void crash(long downFor) {
    if (program != null && program.isAlive()) {
      lastKnownList = world.discovery().list(name);
      stopping = true;
      isListening = false;
      incarnation++;
      if (shared.tampering().survivesKill(name)) {
        program.stopListening();
        program = null;
      } else {
        processes.forEach(this::killProcess);
        program.kill();
        List.copyOf(bridges).forEach(splice -> splice.abandon(shared.driver()));
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
    if (!isServing()) {
      return;
    }
    stopping = true;
    ProxyProcess old = process;
    old.expectExit();
    world.publish(new Event.ProxyTerminated(name));
    world.loadBalancer().shutdownStarted(name);
    killTimer =
        world
            .agenda()
            .after(
                stream.micros(MIN_KILL_DELAY_MICROS, MAX_KILL_DELAY_MICROS),
                () -> killOverdue(old));
    shared.watchdog().signal("TERM", old.pid());
  }

  private void killOverdue(ProxyProcess old) {
    if (old.isAlive()) {
      lastKnownList = world.discovery().list(name);
      killTimer = null;
      incarnation++;
      killProcess(old);
      program.kill();
      List.copyOf(bridges).forEach(SocketBridge::resetBoth);
      world.publish(new Event.ProxyKilled(name, true));
      world
          .agenda()
          .after(
              stream.micros(MIN_RESTART_DELAY_MICROS, MAX_RESTART_DELAY_MICROS),
              () -> start(false));
    }
  }

  @Override
  public void standby(long awayFor) {
    if (!isServing()) {
      return;
    }
    ProxyProcess called = process;
    InetSocketAddress management = shared.loopback().management(name, called.number());
    if (sharesBudgets) {
      shared
          .backgroundTasks()
          .submit(
              () -> ManagementCall.isAccepted(management, "PUT", "/standby"),
              yes -> {
                if (yes) {
                  onStandby(called, management, awayFor);
                } else {
                  world.publish(new Event.ProxyPutOff(name));
                }
              },
              this::reportFailure);
      return;
    }
    onStandby(called, management, awayFor);
    call(management, "/standby", () -> {});
  }

  /** Its clients are sent away from here on. */
  private void onStandby(ProxyProcess called, InetSocketAddress management, long awayFor) {
    world.publish(new Event.ProxyOnStandby(name));
    world.loadBalancer().shutdownStarted(name);
    world
        .agenda()
        .after(
            awayFor,
            () -> {
              if (isServing() && process == called) {
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
    shared
        .backgroundTasks()
        .submit(
            () -> ManagementCall.isAccepted(management, "PUT", path),
            yes -> {
              if (yes) {
                then.run();
              } else {
                world.publish(new Event.ProxyFailed(name, "PUT " + path + " was answered no"));
              }
            },
            this::reportFailure);
  }

  @Override
  public void upgrade() {
    if (listener == null || !isServing() || processes.size() > 1) {
      return;
    }
    ProxyProcess old = process;
    long now = incarnation;
    spawn(
        List.of(),
        next ->
            shared
                .backgroundTasks()
                .submit(
                    () -> awaitReady(next),
                    yes -> {
                      if (incarnation != now) {
                        killProcess(next);
                      } else if (yes && old.isAlive()) {
                        process = next;
                        terminate(old);
                      } else {
                        killProcess(next);
                      }
                    },
                    this::reportFailure));
  }

  private boolean awaitReady(ProxyProcess next) {
    InetSocketAddress management = shared.loopback().management(name, next.number());
    return poll(next, UPGRADE_TIMEOUT_MILLIS, () -> isReady(management));
  }

  private void terminate(ProxyProcess old) {
    old.expectExit();
    shared.watchdog().signal("TERM", old.pid());
    world
        .agenda()
        .after(
            stream.micros(MIN_KILL_DELAY_MICROS, MAX_KILL_DELAY_MICROS),
            () -> {
              if (old.isAlive()) {
                killProcess(old);
                world.publish(new Event.ProxyKilled(name, true));
              }
            });
  }

  @Override
  public void hangUp(int further) {
    if (isServing()) {
      hangUp(config(further), () -> world.publish(new Event.ProxyHungUp(name, further > 0)));
    }
  }

  @Override
  public void hangUpDamaged() {
    if (isServing()) {
      hangUp(ProxyConfig.truncated(config(1)), () -> {});
    }
  }

  private void hangUp(String text, Runnable sent) {
    ProxyProcess asked = process;
    shared
        .backgroundTasks()
        .submit(
            () -> {
              writeConfig(text);
              return true;
            },
            done -> {
              if (asked.isAlive()) {
                sent.run();
                processes.forEach(one -> shared.watchdog().signal("HUP", one.pid()));
              }
            },
            this::reportFailure);
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
    pausedUntil = Math.max(pausedUntil, until + SIGNAL_DELAY_MICROS);
    stopped.forEach(one -> shared.watchdog().signal("STOP", one.pid()));
    world
        .agenda()
        .at(
            until,
            () -> {
              if (world.now() + SIGNAL_DELAY_MICROS >= pausedUntil) {
                stopped.stream()
                    .filter(ProxyProcess::isAlive)
                    .forEach(one -> shared.watchdog().signal("CONT", one.pid()));
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
    processes.forEach(this::killProcess);
    List.copyOf(bridges).forEach(SocketBridge::resetBoth);
    try {
      for (ProxiedPort door : ports) {
        door.close();
      }
      if (datagramPort != null) {
        datagramPort.close();
      }
      if (listener != null) {
        listener.close();
      }
    } catch (IOException e) {
      throw new LabException("a socket of " + name + " cannot be closed", e);
    }
  }
}
