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
 * A proxy that runs as a process of the operating system. Its machine in the simulated network
 * holds a stand-in program that forwards the connections and datagrams to and from the process. The
 * process starts, stops and restarts after the same delays as in the simulation. All methods belong
 * to the driver's thread, unless they say otherwise.
 */
final class RealProxy implements ProxyInstance {
  private static final int PORT = 7_070;
  private static final int BACKLOG = 1_024;
  private static final long MILLI = Agenda.MILLI;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The earliest time of SIGKILL after SIGTERM; the delay is drawn up to the maximum. */
  private static final long MIN_KILL_DELAY_MICROS = 3_700 * MILLI;

  private static final long MAX_KILL_DELAY_MICROS = 4_200 * MILLI;
  private static final long MIN_RESTART_DELAY_MICROS = 200 * MILLI;
  private static final long MAX_RESTART_DELAY_MICROS = 1_500 * MILLI;

  /** In an upgrade, the time that the new process has to report itself ready. */
  private static final long UPGRADE_TIMEOUT_MILLIS = 6_000;

  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final long START_TIMEOUT_MILLIS = 30_000;

  /** By then the lab has forwarded all that a process wrote before its end. */
  private static final long FINAL_OUTPUT_DELAY_MICROS = 50 * MILLI;

  /** The longest time from sending a signal until the process is stopped or runs again. */
  private static final long SIGNAL_DELAY_MICROS = 10 * MILLI;

  /** How often the process is asked for its view of the fleet. */
  private static final long VIEW_INTERVAL_MICROS = 100 * MILLI;

  /** The file with the settings that the platform's configuration does not have. */
  private static final String SUPPLEMENT_FILE = "own.toml";

  /** The objects that all proxies of a lab share. */
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

  /** Read by the monitor's thread as well, as are the logs; both change seldom. */
  private final List<ProxyProcess> processes = new CopyOnWriteArrayList<>();

  private final List<Path> logs = new CopyOnWriteArrayList<>();
  private final InheritedListener listener;

  private ProxyProcess process;
  private Program program;
  private DatagramSocket datagrams;
  private String lastKnownList;
  private boolean stopping;
  private boolean listening;
  private int startedProcesses;
  private long incarnation;

  /** The proxies at which it looks for its fleet; null if it is in none. */
  private List<RealProxy> seeds;

  private long viewProcess;
  private long viewVersion;
  private long pausedUntil;
  private Agenda.Entry killTimer;
  private volatile int descriptors;

  RealProxy(
      SharedContext shared,
      World world,
      Site site,
      String name,
      int rank,
      Machine machine,
      boolean inheritsListener,
      ByteBuffer scratch) {
    this.shared = shared;
    this.world = world;
    this.site = site;
    this.name = name;
    this.rank = rank;
    this.machine = machine;
    this.scratch = scratch;
    shared.loopback().rank(name, rank);
    address = shared.loopback().address(name, machine);
    stream = world.draws().of("proxy " + name);
    try {
      Files.createDirectories(folder().resolve("tmp"));
      listener = inheritsListener ? new InheritedListener(address) : null;
    } catch (IOException e) {
      throw new LabException(
          "cannot create the folder or the listening socket of " + name + ": " + e.getMessage(), e);
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

  /** Returns the address at which the process listens. */
  InetSocketAddress address() {
    return address;
  }

  /** Returns the address at which the process opens connections to another proxy. */
  InetSocketAddress peerAddress(RealProxy other) {
    return shared.loopback().address(name, other.machine);
  }

  /** Returns the address to which all other processes send datagrams for this one. */
  InetSocketAddress datagramAddress() {
    return shared.loopback().datagramAddress(name);
  }

  /** Returns the log files of its processes, the oldest first; from any thread. */
  List<Path> logs() {
    return logs;
  }

  /** Returns its live processes; from any thread. */
  List<ProxyProcess> processes() {
    return List.copyOf(processes);
  }

  /** Returns whether its process accepts connections. */
  boolean isListening() {
    return listening;
  }

  private Path folder() {
    return shared.folder().resolve(name);
  }

  /** Adds the proxied port for a port of another machine; called before the first start. */
  void addPort(Machine other, int port) {
    ProxiedPort[] proxied = new ProxiedPort[1];
    proxied[0] =
        new ProxiedPort(
            shared.driver(),
            world.fabric(),
            machine,
            other,
            port,
            shared.loopback().address(name, other),
            channel -> onProcessConnect(channel, proxied[0]));
    ports.add(proxied[0]);
  }

  /** Opens the proxied datagram port for all proxies, by address; called before the first start. */
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
      throw new LabException("the stand-in of " + name + " cannot bind its datagram port", e);
    }
  }

  List<ProxiedPort> ports() {
    return ports;
  }

  /** Bridges a connection that the process has opened to its target in the simulated network. */
  private void onProcessConnect(SocketChannel channel, ProxiedPort port) {
    if (program == null || !program.isAlive()) {
      SocketBridge.reset(channel);
      return;
    }
    program.connect(
        new InetSocketAddress(shared.tampering().redirect(port.to()).address(), port.port()),
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
    SocketBridge bridge = new SocketBridge(channel, endpoint, scratch, tampering, bridges::remove);
    bridges.add(bridge);
    bridge.start(shared.driver());
  }

  /** Bridges a connection from the simulated network to the process. */
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
    if (listening || program == null || !program.isAlive()) {
      return;
    }
    listening = true;
    ListeningSocket[] port = new ListeningSocket[1];
    try {
      port[0] = program.listen(PORT, BACKLOG, () -> acceptFromNetwork(port[0]));
    } catch (IOException e) {
      throw new LabException("the stand-in of " + name + " cannot listen", e);
    }
  }

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
    listening = false;
    program = new Program(machine, name, 0, Integer.MAX_VALUE).asRelay();
    if (datagrams == null || !shared.tampering().survivesKill(name)) {
      openStandInDatagrams();
    }
    world.publish(new Event.ProxyStarted(name));
    world
        .loadBalancer()
        .processStarted(name, machine, new InetSocketAddress(machine.address(), PORT));
    long current = ++incarnation;
    List<ProxyProcess> earlier = List.copyOf(processes);
    spawn(
        earlier,
        next -> {
          if (incarnation != current) {
            killProcess(next);
            return;
          }
          process = next;
          shared
              .backgroundTasks()
              .submit(
                  () -> awaitListening(next),
                  up -> {
                    if (incarnation == current && up) {
                      startListening();
                    }
                  },
                  this::reportFailure);
        });
  }

  /** Writes the configuration and starts a process, once the given earlier processes have ended. */
  private void spawn(List<ProxyProcess> earlier, Consumer<ProxyProcess> then) {
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
              for (ProxyProcess proxyProcess : earlier) {
                proxyProcess.awaitExit();
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

  /** Waits until the process listens; false if it ended before. On a background thread. */
  private boolean awaitListening(ProxyProcess next) throws IOException {
    InetSocketAddress management = shared.loopback().management(name, next.number());
    if (!poll(
        next,
        START_TIMEOUT_MILLIS,
        () -> listener == null ? ManagementCall.isListening(address) : isReady(management))) {
      if (next.isAlive()) {
        throw new IOException(
            "process " + next.number() + " does not listen within " + START_TIMEOUT_MILLIS + " ms");
      }
      return false;
    }
    return true;
  }

  /** Polls a condition while the process lives, up to a time limit; on a background thread. */
  private boolean poll(ProxyProcess next, long limitMillis, BooleanSupplier condition) {
    long until = shared.driver().nanos() + limitMillis * NANOS_PER_MILLI;
    while (next.isAlive() && shared.driver().nanos() < until) {
      if (condition.getAsBoolean()) {
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

  /** Replaces the file atomically, so that a reader never sees a part of it; background thread. */
  private void writeConfig(String text) throws IOException {
    Path file = folder().resolve("config.json");
    Path next = folder().resolve("config.json.next");
    Files.writeString(next, text);
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  private void killProcess(ProxyProcess proxyProcess) {
    proxyProcess.expectExit();
    if (proxyProcess.isAlive()) {
      shared.watchdog().signal("KILL", proxyProcess.pid());
    }
  }

  /** Handles the exit of a process, whether the lab ended it or not. */
  private void onProcessExit(ProxyProcess proxyProcess) {
    processes.remove(proxyProcess);
    shared.watchdog().untrack(proxyProcess.pid());
    if (proxyProcess == process && listening && processes.isEmpty()) {
      List.copyOf(bridges).forEach(SocketBridge::readFromProcess);
    }
    if (!proxyProcess.isExitExpected()) {
      world.publish(
          new Event.ProxyFailed(
              name,
              "process "
                  + proxyProcess.number()
                  + " ended by itself, status "
                  + proxyProcess.exitStatus()));
    }
    if (proxyProcess == process && stopping && killTimer != null && program.isAlive()) {
      int status = proxyProcess.exitStatus();
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

  /** Whether its processes share the fleet's budgets and need a drain permit to leave. */
  private boolean sharesBudgets;

  /** Makes its processes join a fleet, with the given proxies as seeds. */
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

  /** Asks its process for its membership view periodically, and reports each change. */
  void watchView() {
    ProxyProcess currentProcess = process;
    if (currentProcess == null || !listening || !currentProcess.isAlive()) {
      world.agenda().after(VIEW_INTERVAL_MICROS, this::watchView);
      return;
    }
    InetSocketAddress management = shared.loopback().management(name, currentProcess.number());
    shared
        .backgroundTasks()
        .submit(
            () ->
                MemberViewParser.parse(
                    name,
                    currentProcess.number(),
                    ManagementCall.fetchText(management, "/members")),
            view -> {
              if (view != null
                  && currentProcess == process
                  && (view.process() != viewProcess || view.version() != viewVersion)) {
                viewProcess = view.process();
                viewVersion = view.version();
                world.publish(view);
              }
              world.agenda().after(VIEW_INTERVAL_MICROS, this::watchView);
            },
            failure -> world.agenda().after(VIEW_INTERVAL_MICROS, this::watchView));
  }

  @Override
  public boolean isMember() {
    return seeds != null && isServing();
  }

  private boolean isServing() {
    return listening && !stopping && process != null && process.isAlive();
  }

  @Override
  public void crash(long downFor) {
    if (program != null && program.isAlive()) {
      lastKnownList = world.discovery().list(name);
      stopping = true;
      listening = false;
      incarnation++;
      if (shared.tampering().survivesKill(name)) {
        program.stopListening();
        program = null;
      } else {
        processes.forEach(this::killProcess);
        program.kill();
        List.copyOf(bridges).forEach(bridge -> bridge.abandon(shared.driver()));
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
    ProxyProcess currentProcess = process;
    InetSocketAddress management = shared.loopback().management(name, currentProcess.number());
    if (sharesBudgets) {
      shared
          .backgroundTasks()
          .submit(
              () -> ManagementCall.isAccepted(management, "PUT", "/standby"),
              accepted -> {
                if (accepted) {
                  onStandby(currentProcess, management, awayFor);
                } else {
                  world.publish(new Event.ProxyPutOff(name));
                }
              },
              this::reportFailure);
      return;
    }
    onStandby(currentProcess, management, awayFor);
    call(management, "/standby", () -> {});
  }

  /** Records that the process sends its clients away, and ends the standby after a time. */
  private void onStandby(ProxyProcess currentProcess, InetSocketAddress management, long awayFor) {
    world.publish(new Event.ProxyOnStandby(name));
    world.loadBalancer().shutdownStarted(name);
    world
        .agenda()
        .after(
            awayFor,
            () -> {
              if (isServing() && process == currentProcess) {
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
            accepted -> {
              if (accepted) {
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
    long current = incarnation;
    spawn(
        List.of(),
        next ->
            shared
                .backgroundTasks()
                .submit(
                    () -> awaitReady(next),
                    ready -> {
                      if (incarnation != current) {
                        killProcess(next);
                      } else if (ready && old.isAlive()) {
                        process = next;
                        terminate(old);
                      } else {
                        killProcess(next);
                      }
                    },
                    this::reportFailure));
  }

  /** Waits until the new process of an upgrade reports itself ready; on a background thread. */
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
    ProxyProcess currentProcess = process;
    shared
        .backgroundTasks()
        .submit(
            () -> {
              writeConfig(text);
              return true;
            },
            done -> {
              if (currentProcess.isAlive()) {
                sent.run();
                processes.forEach(
                    proxyProcess -> shared.watchdog().signal("HUP", proxyProcess.pid()));
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
    stopped.forEach(proxyProcess -> shared.watchdog().signal("STOP", proxyProcess.pid()));
    world
        .agenda()
        .at(
            until,
            () -> {
              if (world.now() + SIGNAL_DELAY_MICROS >= pausedUntil) {
                stopped.stream()
                    .filter(ProxyProcess::isAlive)
                    .forEach(proxyProcess -> shared.watchdog().signal("CONT", proxyProcess.pid()));
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

  /** Sets the number of open descriptors of all its processes; from any thread. */
  void descriptors(int counted) {
    descriptors = counted;
  }

  /** Kills its processes and closes its connections and sockets. */
  void close() {
    processes.forEach(this::killProcess);
    List.copyOf(bridges).forEach(SocketBridge::resetBoth);
    try {
      for (ProxiedPort port : ports) {
        port.close();
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
