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
  static final long SLACK = 150_000;

  /** A play in which the lab was later than this tells nothing, in microseconds. */
  static final long LATENESS = 50_000;

  /** Doors follow the simulated network this often, in microseconds, and so many at a time. */
  private static final long MIRROR_EVERY = 5_000;

  private static final int DOORS_AT_ONCE = 64;

  /** Seconds of the plan that are played in virtual time first, and seeds for that. */
  private static final int WARM_UP_SECONDS = 20;

  private static final int WARM_UPS = 2;
  private static final long START_WITHIN_NANOS = 60_000_000_000L;
  private static final int LOG_LINES_KEPT = 4_000;

  /** Kinds of fault that a machine of many processes cannot show. */
  private static final List<String> NOT_HERE = List.of("clock-step");

  /** Somebody who looks on. */
  public interface Watcher {
    /** Now and then, with the play's time in microseconds. */
    void at(Lab lab, long now);
  }

  /** A line that a proxy has logged, and when that was seen. */
  record LogLine(long at, String proxy, String text) {}

  /**
   * What came of a play.
   *
   * @param counts how often each rule was broken
   * @param late the lab's worst lateness, and {@code lateAt} when that was, in microseconds
   */
  public record Outcome(
      Plan plan,
      List<Breach> breaches,
      Map<String, Integer> counts,
      double share,
      String service,
      Map<String, Tally.Count> tallies,
      Map<String, Meter.Use> uses,
      double labProcessorSeconds,
      List<String> breachLog,
      long late,
      long lateUsual,
      long lateAt,
      boolean tooLate) {

    public boolean sound() {
      return breaches.isEmpty();
    }
  }

  private final Plan plan;
  private final Path folder;
  private final Path logs;
  private final Guard guard;
  private final Loopback loopback;
  private final Lateness lateness = new Lateness(LATENESS);
  private final Tally tally = new Tally();
  private final Clock clock = new SystemClock();
  private final Map<String, RealProxy> proxies = new LinkedHashMap<>();
  private final List<Door> doors = new ArrayList<>();
  private final Deque<LogLine> lines = new ArrayDeque<>();
  private final ScenarioRun scene;
  private final Meter meter;
  private Turner turner;
  private Helpers helpers;
  private boolean logsInTrace;
  private int nextDoor;
  private long mirroredAt;

  /**
   * Builds the site; nothing is started yet.
   *
   * @param root the project's folder, in which the proxies are started
   * @param logs where the proxies' logs go, or null for the lab's own folder, which goes with it
   * @throws LabException where the plan cannot be played here, or the machine has no place for it
   */
  public Lab(Plan plan, Path root, Path logs) throws IOException {
    this(plan, root, logs, Tamper.NONE);
  }

  Lab(Plan plan, Path root, Path logs, Tamper tamper) throws IOException {
    for (Fault fault : plan.faults()) {
      if (NOT_HERE.contains(fault.kind().name())) {
        throw new LabException(fault.kind() + " cannot be played on real processes");
      }
    }
    this.plan = plan;
    folder = Files.createTempDirectory("brassbank-lab");
    guard = new Guard(folder);
    this.logs = Files.createDirectories(logs == null ? folder.resolve("logs") : logs);
    loopback = new Loopback();
    boolean inherits =
        plan.faults().stream()
            .anyMatch(fault -> fault.kind().name().equals(FaultKinds.PROXY_UPGRADE));
    ByteBuffer scratch = ByteBuffer.allocate(Splice.scratchSize());
    scene =
        new ScenarioRun(
            plan,
            new ScenarioRun.Environment(loopback, clock.unixMillis(), SLACK),
            (world, name, rank, machine) -> {
              RealProxy proxy =
                  new RealProxy(
                      shared(world, root, tamper),
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
    scene.trace().addListener(tally);
    meter = new Meter(proxies, turner, this::logged);
  }

  private RealProxy.Lab shared(World world, Path root, Tamper tamper) {
    try {
      if (turner == null) {
        turner = new Turner(world.agenda(), lateness);
        helpers = new Helpers(turner);
      }
      return new RealProxy.Lab(turner, helpers, guard, loopback, tamper, root, folder, logs);
    } catch (IOException e) {
      throw new LabException("no selector: " + e.getMessage(), e);
    }
  }

  /** To be listened to before {@link #play}. */
  public Trace trace() {
    return scene.trace();
  }

  /** Puts what the proxies log into the trace. */
  public void withLogs() {
    logsInTrace = true;
  }

  ScenarioRun scene() {
    return scene;
  }

  Tally tally() {
    return tally;
  }

  Map<String, RealProxy> proxies() {
    return proxies;
  }

  Path folder() {
    return folder;
  }

  long late() {
    return lateness.most();
  }

  // -------------------------------------------------------------------- play

  /** Starts everybody and plays the plan to its end. */
  public Outcome play(Watcher watcher) throws IOException {
    warmUp();
    build();
    scene.begin();
    mirrorAll();
    start();
    meter.begin();
    scene.world().setEpochMillis(clock.unixMillis());
    turner.begin();
    while (turner.now() < scene.end()) {
      turn();
      watcher.at(this, turner.now());
    }
    scene.checks().onEnd(scene.agenda().now());
    scene.service().finish(scene.agenda().now());
    return outcome();
  }

  /** Goes on after its end, for whoever wants to look at the site, until interrupted. */
  public void stay() throws IOException {
    while (!Thread.currentThread().isInterrupted()) {
      turn();
    }
  }

  /**
   * A runtime that has just begun compiles what it meets, and is late meanwhile: what the lab is
   * made of has been met before the clock runs.
   */
  private void warmUp() {
    for (int i = 0; i < WARM_UPS; i++) {
      new SimulationRun(
              plan.withSeconds(Math.min(plan.seconds(), WARM_UP_SECONDS)), UnaryOperator.identity())
          .execute();
    }
  }

  private void turn() throws IOException {
    turner.turn();
    long now = turner.now();
    if (now - mirroredAt >= MIRROR_EVERY || nextDoor > 0) {
      mirroredAt = now;
      mirrorSome();
    }
  }

  private void build() throws IOException {
    World world = scene.world();
    Map<SocketAddress, RealProxy> byAddress = new HashMap<>();
    proxies.values().forEach(proxy -> byAddress.put(proxy.address(), proxy));
    for (RealProxy proxy : proxies.values()) {
      proxy.speaksWith(byAddress);
      for (StreamHost host : world.hosts().values()) {
        proxy.meets(host.machine(), StreamHost.PORT);
      }
      for (Machine machine : world.discovery().machines()) {
        proxy.meets(machine, Discovery.PORT);
      }
      for (RealProxy other : proxies.values()) {
        if (other != proxy) {
          proxy.meets(other.machine(), StreamHost.PORT);
        }
      }
      doors.addAll(proxy.doors());
    }
    if (plan.usesMembership()) {
      List<RealProxy> seeds = List.copyOf(proxies.values()).subList(0, Math.min(2, proxies.size()));
      for (RealProxy proxy : proxies.values()) {
        proxy.joins(seeds, plan);
        scene.agenda().after(0, proxy::watchView);
      }
    }
  }

  private void mirrorAll() throws IOException {
    for (Door door : doors) {
      door.mirror();
    }
  }

  /** All doors, but no more changes at a time than keep the sockets waiting for long. */
  private void mirrorSome() throws IOException {
    int changed = 0;
    while (nextDoor < doors.size() && changed < DOORS_AT_ONCE) {
      changed += doors.get(nextDoor++).mirror() ? 1 : 0;
    }
    if (nextDoor == doors.size()) {
      nextDoor = 0;
    }
  }

  /** Time stands still until all proxies listen. */
  private void start() throws IOException {
    long until = clock.nanos() + START_WITHIN_NANOS;
    while (!proxies.values().stream().allMatch(RealProxy::listening)) {
      turner.lookOnly();
      if (clock.nanos() > until || !scene.checks().breaches().isEmpty()) {
        throw new LabException("the proxies do not start: " + lastWords());
      }
    }
  }

  private String lastWords() {
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

  private void logged(String proxy, String text) {
    long now = scene.agenda().now();
    lines.add(new LogLine(now, proxy, text));
    if (lines.size() > LOG_LINES_KEPT) {
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
        tally.counts(),
        meter.uses(),
        ProcessHandle.current().info().totalCpuDuration().map(d -> d.toNanos() / 1e9).orElse(0.0),
        breaches.isEmpty() ? List.of() : BreachLog.lines(breaches.get(0), lines, tally),
        lateness.most(),
        lateness.usual(),
        lateness.mostAt(),
        lateness.tooLate());
  }

  /** Ends all processes, and gives back sockets and files. */
  @Override
  public void close() throws IOException {
    helpers.close();
    meter.close();
    proxies.values().forEach(RealProxy::close);
    guard.close();
    turner.close();
    loopback.close();
  }

  /** Seconds of a play's time, for people. */
  static double seconds(long micros) {
    return micros / (double) Agenda.SECOND;
  }
}
