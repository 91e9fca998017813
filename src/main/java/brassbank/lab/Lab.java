package brassbank.lab;

import brassbank.sim.ScenarioRun;
import brassbank.sim.SimulationRun;
import brassbank.sim.actor.Discovery;
import brassbank.sim.actor.StreamHost;
import brassbank.sim.actor.World;
import brassbank.sim.check.Breach;
import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import brassbank.sim.fault.Fault;
import brassbank.sim.fault.FaultKinds;
import brassbank.sim.fault.Plan;
import brassbank.sim.net.Machine;
import brassbank.sim.time.Agenda;
import brassbank.sources.Clock;
import brassbank.sources.SystemClock;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/** One play of a plan on real processes, from their start to the last trace of them. */
public final class Lab implements AutoCloseable {
  /**
   * Time limits of the rules are extended by this, in microseconds: the protocol's 50 ms and 100.
   */
  static final long RULE_SLACK_MICROS = 150_000;

  /** A play in which the lab was later than this tells nothing, in microseconds. */
  static final long MAX_LATENESS_MICROS = 50_000;

  /** Doors follow the simulated network this often, in microseconds, and so many at a time. */
  private static final long PORT_SYNC_INTERVAL_MICROS = 5_000;

  private static final int MAX_PORT_CHANGES_PER_SYNC = 64;

  /** Seconds of the plan that are played in virtual time first, and seeds for that. */
  private static final int WARM_UP_SECONDS = 20;

  private static final int WARM_UP_RUNS = 2;
  private static final long START_TIMEOUT_NANOS = 60_000_000_000L;
  private static final int MAX_LOG_LINES = 4_000;

  /** Kinds of fault that a machine of many processes cannot show. */
  private static final List<String> UNSUPPORTED_FAULTS = List.of("clock-step");

  /** Somebody who looks on. */
  public interface ProgressListener {
    /** Now and then, with the play's time in microseconds. */
    void onProgress(Lab lab, long now);
  }

  /** A line that a proxy has logged, and when that was seen. */
  record LogLine(long atMicros, String proxy, String text) {}

  /**
   * What came of a play.
   *
   * @param counts how often each rule was broken
   * @param maxLatenessMicros the lab's worst lateness, and {@code lateAt} when that was, in
   *     microseconds
   */
  public record Outcome(
      Plan plan,
      List<Breach> breaches,
      Map<String, Integer> counts,
      double servedShare,
      String serviceSummary,
      Map<String, ClientStatistics.ProxyCounts> clientCounts,
      Map<String, ProcessMonitor.ResourceUsage> resourceUsage,
      double labProcessorSeconds,
      List<String> breachLog,
      long maxLatenessMicros,
      long lateness999Micros,
      long maxLatenessAtMicros,
      boolean isVoid) {

    public boolean holdsAllRules() {
      return breaches.isEmpty();
    }
  }

  private final Plan plan;
  private final Path folder;
  private final Path logs;
  private final Watchdog watchdog;
  private final LoopbackAddresses loopback;
  private final Lateness lateness = new Lateness(MAX_LATENESS_MICROS);
  private final ClientStatistics clientStatistics = new ClientStatistics();
  private final Clock clock = new SystemClock();
  private final Map<String, RealProxy> proxies = new LinkedHashMap<>();
  private final List<ProxiedPort> ports = new ArrayList<>();
  private final Deque<LogLine> lines = new ArrayDeque<>();
  private final ScenarioRun scene;
  private final ProcessMonitor monitor;
  private RealTimeDriver driver;
  private BackgroundTasks backgroundTasks;
  private boolean logsInTrace;
  private int nextPort;
  private long lastSyncMicros;

  /**
   * Builds the site; nothing is started yet.
   *
   * @param root the project's folder, in which the proxies are started
   * @param logs where the proxies' logs go, or null for the lab's own folder, which goes with it
   * @throws LabException where the plan cannot be played here, or the machine has no place for it
   */
  public Lab(Plan plan, Path root, Path logs) throws IOException {
    this(plan, root, logs, LinkTampering.NONE);
  }

  Lab(Plan plan, Path root, Path logs, LinkTampering tamper) throws IOException {
    for (Fault fault : plan.faults()) {
      if (UNSUPPORTED_FAULTS.contains(fault.kind().name())) {
        throw new LabException(fault.kind() + " cannot be played on real processes");
      }
    }
    this.plan = plan;
    folder = Files.createTempDirectory("brassbank-lab");
    watchdog = new Watchdog(folder);
    this.logs = Files.createDirectories(logs == null ? folder.resolve("logs") : logs);
    loopback = new LoopbackAddresses();
    boolean inherits =
        plan.faults().stream()
            .anyMatch(fault -> fault.kind().name().equals(FaultKinds.PROXY_UPGRADE));
    ByteBuffer scratch = ByteBuffer.allocate(SocketBridge.scratchSize());
    scene =
        new ScenarioRun(
            plan,
            new ScenarioRun.Environment(loopback, clock.unixMillis(), RULE_SLACK_MICROS),
            (world, name, rank, machine) -> {
              RealProxy proxy =
                  new RealProxy(
                      sharedContext(world, root, tamper),
                      world,
                      ScenarioRun.site(plan),
                      name,
                      rank,
                      machine,
                      inherits,
                      scratch);
              proxies.put(name, proxy);
              return proxy;
            });
    scene.trace().addListener(clientStatistics);
    monitor = new ProcessMonitor(proxies, driver, this::onLogLine);
  }

  private RealProxy.SharedContext sharedContext(World world, Path root, LinkTampering tamper) {
    try {
      if (driver == null) {
        driver = new RealTimeDriver(world.agenda(), lateness);
        backgroundTasks = new BackgroundTasks(driver);
      }
      return new RealProxy.SharedContext(
          driver, backgroundTasks, watchdog, loopback, tamper, root, folder, logs);
    } catch (IOException e) {
      throw new LabException("no selector: " + e.getMessage(), e);
    }
  }

  /** To be listened to before {@link #play}. */
  public Trace trace() {
    return scene.trace();
  }

  /** Puts what the proxies log into the trace. */
  public void includeLogsInTrace() {
    logsInTrace = true;
  }

  ScenarioRun scene() {
    return scene;
  }

  ClientStatistics clientStatistics() {
    return clientStatistics;
  }

  Map<String, RealProxy> proxies() {
    return proxies;
  }

  Path folder() {
    return folder;
  }

  long maxLatenessMicros() {
    return lateness.maxMicros();
  }

  // -------------------------------------------------------------------- play

  /** Starts everybody and plays the plan to its end. */
  public Outcome play(ProgressListener watcher) throws IOException {
    warmUp();
    connectProxies();
    scene.begin();
    syncAllPorts();
    awaitStart();
    monitor.start();
    scene.world().setEpochMillis(clock.unixMillis());
    driver.startClock();
    while (driver.nowMicros() < scene.end()) {
      runOnce();
      watcher.onProgress(this, driver.nowMicros());
    }
    scene.checks().onEnd(scene.agenda().now());
    scene.service().finish(scene.agenda().now());
    return outcome();
  }

  /** Goes on after its end, for whoever wants to look at the site, until interrupted. */
  public void keepRunning() throws IOException {
    while (!Thread.currentThread().isInterrupted()) {
      runOnce();
    }
  }

  /**
   * A runtime that has just begun compiles what it meets, and is late meanwhile: what the lab is
   * made of has been met before the clock runs.
   */
  private void warmUp() {
    for (int i = 0; i < WARM_UP_RUNS; i++) {
      new SimulationRun(
              plan.withSeconds(Math.min(plan.seconds(), WARM_UP_SECONDS)), UnaryOperator.identity())
          .execute();
    }
  }

  private void runOnce() throws IOException {
    driver.runOnce();
    long now = driver.nowMicros();
    if (now - lastSyncMicros >= PORT_SYNC_INTERVAL_MICROS || nextPort > 0) {
      lastSyncMicros = now;
      syncSomePorts();
    }
  }

  private void connectProxies() throws IOException {
    World world = scene.world();
    Map<SocketAddress, RealProxy> byAddress = new HashMap<>();
    proxies.values().forEach(proxy -> byAddress.put(proxy.address(), proxy));
    for (RealProxy proxy : proxies.values()) {
      proxy.openDatagramPort(byAddress);
      for (StreamHost host : world.hosts().values()) {
        proxy.addPort(host.machine(), StreamHost.PORT);
      }
      for (Machine machine : world.discovery().machines()) {
        proxy.addPort(machine, Discovery.PORT);
      }
      for (RealProxy other : proxies.values()) {
        if (other != proxy) {
          proxy.addPort(other.machine(), StreamHost.PORT);
        }
      }
      ports.addAll(proxy.ports());
    }
    if (plan.usesMembership()) {
      List<RealProxy> seeds = List.copyOf(proxies.values()).subList(0, Math.min(2, proxies.size()));
      for (RealProxy proxy : proxies.values()) {
        proxy.joinFleet(seeds, plan);
        scene.agenda().after(0, proxy::watchView);
      }
    }
  }

  private void syncAllPorts() throws IOException {
    for (ProxiedPort door : ports) {
      door.syncWithNetwork();
    }
  }

  /** All doors, but no more changes at a time than keep the sockets waiting for long. */
  private void syncSomePorts() throws IOException {
    int changed = 0;
    while (nextPort < ports.size() && changed < MAX_PORT_CHANGES_PER_SYNC) {
      changed += ports.get(nextPort++).syncWithNetwork() ? 1 : 0;
    }
    if (nextPort == ports.size()) {
      nextPort = 0;
    }
  }

  /** Time stands still until all proxies listen. */
  private void awaitStart() throws IOException {
    long until = clock.nanos() + START_TIMEOUT_NANOS;
    while (!proxies.values().stream().allMatch(RealProxy::isListening)) {
      driver.pollWithoutClock();
      if (clock.nanos() > until || !scene.checks().breaches().isEmpty()) {
        throw new LabException("the proxies do not start: " + describeStartFailure());
      }
    }
  }

  private String describeStartFailure() {
    StringBuilder words = new StringBuilder();
    scene.checks().breaches().forEach(breach -> words.append(breach.description()).append("; "));
    for (RealProxy proxy : proxies.values()) {
      for (Path log : proxy.logs()) {
        try {
          List<String> said = Files.readAllLines(log);
          if (!said.isEmpty()) {
            words.append(proxy.name()).append(": ").append(said.get(said.size() - 1)).append("; ");
          }
        } catch (IOException e) {
          words.append(proxy.name()).append(": no log; ");
        }
      }
    }
    return words.toString();
  }

  private void onLogLine(String proxy, String text) {
    long now = scene.agenda().now();
    lines.add(new LogLine(now, proxy, text));
    if (lines.size() > MAX_LOG_LINES) {
      lines.remove();
    }
    String[] parts = text.split(" ", 3);
    if (parts.length == 3 && parts[1].equals("error")) {
      scene.world().publish(new Event.ProxyFailed(proxy, parts[2]));
    } else if (logsInTrace) {
      scene.world().publish(new Event.ProxyLogged(proxy, text));
    }
  }

  private Outcome outcome() {
    List<Breach> breaches = List.copyOf(scene.checks().breaches());
    return new Outcome(
        plan,
        breaches,
        new LinkedHashMap<>(scene.checks().breachCounts()),
        scene.service().servedShare(),
        scene.service().summary(),
        clientStatistics.counts(),
        monitor.usage(),
        ProcessHandle.current().info().totalCpuDuration().map(d -> d.toNanos() / 1e9).orElse(0.0),
        breaches.isEmpty() ? List.of() : BreachLog.lines(breaches.get(0), lines, clientStatistics),
        lateness.maxMicros(),
        lateness.percentile999Micros(),
        lateness.maxAtMicros(),
        lateness.exceedsLimit());
  }

  /** Ends all processes, and gives back sockets and files. */
  @Override
  public void close() throws IOException {
    backgroundTasks.close();
    monitor.close();
    proxies.values().forEach(RealProxy::close);
    watchdog.close();
    driver.close();
    loopback.close();
  }

  /** Seconds of a play's time, for people. */
  static double seconds(long micros) {
    return micros / (double) Agenda.SECOND;
  }
}
