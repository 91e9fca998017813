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

/** One run of a plan on real processes, from their start to the removal of all their resources. */
public final class Lab implements AutoCloseable {
  /** Added to the time limits of the rules: the 50 ms of the protocol and 100 ms for the lab. */
  static final long RULE_SLACK_MICROS = 150_000;

  /** A run in which the lab was later than this is void. */
  static final long MAX_LATENESS_MICROS = 50_000;

  /** How often the proxied ports follow the state of the simulated network. */
  private static final long PORT_SYNC_INTERVAL_MICROS = 5_000;

  private static final int MAX_PORT_CHANGES_PER_SYNC = 64;

  /** Seconds of the plan that are simulated in virtual time first. */
  private static final int WARM_UP_SECONDS = 20;

  private static final int WARM_UP_RUNS = 2;
  private static final long START_TIMEOUT_NANOS = 60_000_000_000L;
  private static final int MAX_LOG_LINES = 4_000;

  /** Kinds of fault that cannot be played where all processes share one machine. */
  private static final List<String> UNSUPPORTED_FAULTS = List.of("clock-step");

  /** Observes the progress of a run. */
  public interface ProgressListener {
    /** Called after each iteration, with the time of the run in microseconds. */
    void onProgress(Lab lab, long now);
  }

  /** A line that a proxy has logged, and when the lab read it. */
  record LogLine(long atMicros, String proxy, String text) {}

  /**
   * The outcome of a run.
   *
   * @param counts how often each rule was broken
   * @param servedShare the share of the service that the clients had
   * @param serviceSummary the service that the clients had, as text
   * @param clientCounts the outcomes of the flows, by proxy
   * @param resourceUsage the resources that the processes used, by proxy
   * @param breachLog the log lines around the first breach
   * @param maxLatenessMicros the lab's largest lateness, at {@code maxLatenessAtMicros} of the run
   * @param lateness999Micros the 99.9th percentile of the lab's lateness
   * @param isVoid whether the lab was too late for a verdict
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
  private final ScenarioRun scenarioRun;
  private final ProcessMonitor monitor;
  private RealTimeDriver driver;
  private BackgroundTasks backgroundTasks;
  private boolean logsInTrace;
  private int nextPort;
  private long lastSyncMicros;

  /**
   * Builds the site without starting any proxy process.
   *
   * @param root the project's folder, the working directory of the proxies
   * @param logs the folder for the proxies' logs, or null for the lab's own, which {@link #close}
   *     removes
   * @throws LabException if the plan cannot be played here, or the machine lacks the resources
   */
  public Lab(Plan plan, Path root, Path logs) throws IOException {
    this(plan, root, logs, LinkTampering.NONE);
  }

  Lab(Plan plan, Path root, Path logs, LinkTampering tampering) throws IOException {
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
    boolean inheritsListener =
        plan.faults().stream()
            .anyMatch(fault -> fault.kind().name().equals(FaultKinds.PROXY_UPGRADE));
    ByteBuffer scratch = ByteBuffer.allocate(SocketBridge.scratchSize());
    scenarioRun =
        new ScenarioRun(
            plan,
            new ScenarioRun.Environment(loopback, clock.unixMillis(), RULE_SLACK_MICROS),
            (world, name, rank, machine) -> {
              RealProxy proxy =
                  new RealProxy(
                      sharedContext(world, root, tampering),
                      world,
                      ScenarioRun.site(plan),
                      name,
                      rank,
                      machine,
                      inheritsListener,
                      scratch);
              proxies.put(name, proxy);
              return proxy;
            });
    scenarioRun.trace().addListener(clientStatistics);
    monitor = new ProcessMonitor(proxies, driver, this::onLogLine);
  }

  private RealProxy.SharedContext sharedContext(World world, Path root, LinkTampering tampering) {
    try {
      if (driver == null) {
        driver = new RealTimeDriver(world.agenda(), lateness);
        backgroundTasks = new BackgroundTasks(driver);
      }
      return new RealProxy.SharedContext(
          driver, backgroundTasks, watchdog, loopback, tampering, root, folder, logs);
    } catch (IOException e) {
      throw new LabException("the lab cannot open a selector: " + e.getMessage(), e);
    }
  }

  /** Returns the trace; listeners are added before {@link #play}. */
  public Trace trace() {
    return scenarioRun.trace();
  }

  /** Adds the proxies' log lines to the trace. */
  public void includeLogsInTrace() {
    logsInTrace = true;
  }

  ScenarioRun scenarioRun() {
    return scenarioRun;
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

  /** Starts all proxies and runs the plan to its end. */
  public Outcome play(ProgressListener listener) throws IOException {
    warmUp();
    connectProxies();
    scenarioRun.begin();
    syncAllPorts();
    awaitStart();
    monitor.start();
    scenarioRun.world().setEpochMillis(clock.unixMillis());
    driver.startClock();
    while (driver.nowMicros() < scenarioRun.end()) {
      runOnce();
      listener.onProgress(this, driver.nowMicros());
    }
    scenarioRun.checks().onEnd(scenarioRun.agenda().now());
    scenarioRun.service().finish(scenarioRun.agenda().now());
    return outcome();
  }

  /** Keeps the site running after the end of the plan, for inspection, until interrupted. */
  public void keepRunning() throws IOException {
    while (!Thread.currentThread().isInterrupted()) {
      runOnce();
    }
  }

  /**
   * Simulates the start of the plan in virtual time. A JVM that has just started is late while it
   * compiles; this makes it compile the lab's code before the clock runs.
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

  /**
   * Opens the proxied ports of each proxy, and lets the proxies join a fleet if the plan says so.
   */
  private void connectProxies() throws IOException {
    World world = scenarioRun.world();
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
        scenarioRun.agenda().after(0, proxy::watchView);
      }
    }
  }

  private void syncAllPorts() throws IOException {
    for (ProxiedPort port : ports) {
      port.syncWithNetwork();
    }
  }

  /**
   * Updates all ports over several calls; a call makes few changes, so that sockets do not wait.
   */
  private void syncSomePorts() throws IOException {
    int changed = 0;
    while (nextPort < ports.size() && changed < MAX_PORT_CHANGES_PER_SYNC) {
      changed += ports.get(nextPort++).syncWithNetwork() ? 1 : 0;
    }
    if (nextPort == ports.size()) {
      nextPort = 0;
    }
  }

  /** Waits, with the clock stopped, until all proxies listen. */
  private void awaitStart() throws IOException {
    long until = clock.nanos() + START_TIMEOUT_NANOS;
    while (!proxies.values().stream().allMatch(RealProxy::isListening)) {
      driver.pollWithoutClock();
      if (clock.nanos() > until || !scenarioRun.checks().breaches().isEmpty()) {
        throw new LabException(
            "not all proxies listened within 60 s of their start, or one failed: "
                + describeStartFailure());
      }
    }
  }

  /** Returns the breaches so far and the last log line of each process. */
  private String describeStartFailure() {
    StringBuilder text = new StringBuilder();
    scenarioRun
        .checks()
        .breaches()
        .forEach(breach -> text.append(breach.description()).append("; "));
    for (RealProxy proxy : proxies.values()) {
      for (Path log : proxy.logs()) {
        try {
          List<String> logLines = Files.readAllLines(log);
          if (!logLines.isEmpty()) {
            text.append(proxy.name())
                .append(": ")
                .append(logLines.get(logLines.size() - 1))
                .append("; ");
          }
        } catch (IOException e) {
          text.append(proxy.name()).append(": no log; ");
        }
      }
    }
    return text.toString();
  }

  private void onLogLine(String proxy, String text) {
    long now = scenarioRun.agenda().now();
    lines.add(new LogLine(now, proxy, text));
    if (lines.size() > MAX_LOG_LINES) {
      lines.remove();
    }
    String[] parts = text.split(" ", 3);
    if (parts.length == 3 && parts[1].equals("error")) {
      scenarioRun.world().publish(new Event.ProxyFailed(proxy, parts[2]));
    } else if (logsInTrace) {
      scenarioRun.world().publish(new Event.ProxyLogged(proxy, text));
    }
  }

  private Outcome outcome() {
    List<Breach> breaches = List.copyOf(scenarioRun.checks().breaches());
    return new Outcome(
        plan,
        breaches,
        new LinkedHashMap<>(scenarioRun.checks().breachCounts()),
        scenarioRun.service().servedShare(),
        scenarioRun.service().summary(),
        clientStatistics.counts(),
        monitor.usage(),
        ProcessHandle.current().info().totalCpuDuration().map(d -> d.toNanos() / 1e9).orElse(0.0),
        breaches.isEmpty() ? List.of() : BreachLog.lines(breaches.get(0), lines, clientStatistics),
        lateness.maxMicros(),
        lateness.percentile999Micros(),
        lateness.maxAtMicros(),
        lateness.exceedsLimit());
  }

  /** Ends all processes and releases all sockets and files. */
  @Override
  public void close() throws IOException {
    backgroundTasks.close();
    monitor.close();
    proxies.values().forEach(RealProxy::close);
    watchdog.close();
    driver.close();
    loopback.close();
  }

  /** Converts microseconds of a run to seconds. */
  static double seconds(long micros) {
    return micros / (double) Agenda.SECOND;
  }
}
