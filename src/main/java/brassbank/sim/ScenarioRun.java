package brassbank.sim;

import brassbank.sim.actor.AddressMapping;
import brassbank.sim.actor.BadClient;
import brassbank.sim.actor.Client;
import brassbank.sim.actor.Discovery;
import brassbank.sim.actor.ProxyInstance;
import brassbank.sim.actor.Site;
import brassbank.sim.actor.StreamHost;
import brassbank.sim.actor.UpstreamLoadBalancer;
import brassbank.sim.actor.World;
import brassbank.sim.check.Checks;
import brassbank.sim.check.GroundTruth;
import brassbank.sim.check.Rule;
import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import brassbank.sim.fault.Fault;
import brassbank.sim.fault.FaultContext;
import brassbank.sim.fault.Plan;
import brassbank.sim.net.Fabric;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * One scenario of a simulation: a plan's site with all its actors, the faults, the clients and the
 * rules, on an agenda that the caller runs. {@link SimulationRun} supplies the program's proxies
 * and virtual time, the fleet lab real processes and the wall clock.
 */
public final class ScenarioRun {
  private static final long MILLI = Agenda.MILLI;
  private static final long SECOND = Agenda.SECOND;

  private static final Fabric.Latency LATENCY = new Fabric.Latency(110, 320, 700, 1_300, 0.2);
  private static final Fabric.Buffers BUFFERS =
      new Fabric.Buffers(64 * 1024, 64 * 1024, 100_000_000);

  /** When the first client arrives. */
  private static final long FIRST_CLIENT = SECOND;

  /**
   * The number of the first extra client. Extra clients have numbers of their own, so that bursts
   * do not change the regular clients.
   */
  private static final int FIRST_EXTRA_CLIENT = 100_000;

  private static final int MAX_ATTEMPTS = 4;

  /** Approximate share of all groups that have connections on a host. */
  private static final double GROUP_SHARE_PER_HOST = 0.4;

  /** Below this utilization a host has capacity for more connections. */
  private static final double MAX_UTILIZATION = 0.5;

  /** Creates the site's proxies. */
  public interface ProxyFactory {
    /** Creates the proxy of this name, rank and machine without starting it. */
    ProxyInstance create(World world, String name, int rank, Machine machine);
  }

  /**
   * Properties of a run that do not follow from its plan.
   *
   * @param addresses the addresses under which proxies reach machines
   * @param epochMillis the Unix time at which the run begins
   * @param slack by how much the rules extend each time limit, in microseconds
   */
  public record Environment(AddressMapping addresses, long epochMillis, long slack) {
    /** The environment of runs in virtual time. */
    static final Environment VIRTUAL =
        new Environment(AddressMapping.OWN, World.EPOCH_MILLIS, GroundTruth.SOCKET_SLACK_MICROS);
  }

  private final Plan plan;
  private final Environment environment;
  private final Agenda agenda = new Agenda();
  private final Trace trace = new Trace(agenda);
  private final RandomStreams draws;
  private final World world;
  private final Map<String, ProxyInstance> proxies = new LinkedHashMap<>();
  private final List<Program> clientPrograms = new ArrayList<>();
  private final Checks checks;

  /** Null where the proxies keep no membership view. */
  private final MutualReachability reachability;

  private final FaultContext faultContext;
  private final ServiceStatistics service = new ServiceStatistics();
  private int nextExtraClient = FIRST_EXTRA_CLIENT;

  public ScenarioRun(Plan plan, Environment environment, ProxyFactory factory) {
    this(plan, environment, factory, site(plan));
  }

  /** Creates a run with another deployment than the plan's own. */
  ScenarioRun(Plan plan, Environment environment, ProxyFactory factory, Site site) {
    this.plan = plan;
    this.environment = environment;
    draws = new RandomStreams(plan.seed());
    Fabric fabric = new Fabric(agenda, draws, LATENCY, BUFFERS);
    world =
        new World(
            agenda, draws, fabric, trace, site, environment.addresses(), environment.epochMillis());
    build(site, factory);
    Checks.RuleParameters figures =
        new Checks.RuleParameters(
            site.answerSlack(),
            site.drainGrace(),
            MAX_ATTEMPTS,
            site.proxies(),
            site.hosts(),
            plan.minProxiesPerHost(),
            Plan.RECOVERY_MILLIS * MILLI,
            plan.sockets() < Plan.DEFAULT_SOCKETS,
            demandShare(site),
            repeats(site));
    List<Rule> rules = new ArrayList<>(Checks.commonRules(figures));
    if (plan.usesMembership()) {
      rules.addAll(Checks.membershipRules(figures, plan.sharesBudgets()));
      rules.addAll(plan.sharesBudgets() ? Checks.sharedBudgetRules(figures) : List.of());
      rules.addAll(plan.usesSubsets() ? Checks.subsetRules(figures) : List.of());
      reachability = new MutualReachability(fabric, proxies);
    } else {
      reachability = null;
    }
    checks = new Checks(rules, new SimulationTruth());
    trace.addListener(checks);
    trace.addListener(service);
    faultContext = new FaultContext(world, proxies, new ClientSource());
  }

  /** Returns the figures of a plan's deployment. */
  public static Site site(Plan plan) {
    return Site.standard(plan.proxies(), plan.hosts(), plan.rate(), plan.sockets());
  }

  private static Map<String, Checks.Repeat> repeats(Site site) {
    Map<String, Checks.Repeat> repeats = new HashMap<>();
    for (Site.FlowClass type : site.classes()) {
      Site.Repeat repeat = type.repeat();
      if (!repeat.effect().equals("free")) {
        boolean never = repeat.effect().equals("single_shot");
        repeats.put(type.name(), new Checks.Repeat(never, repeat.windowMillis() * MILLI));
      }
    }
    return repeats;
  }

  private double demandShare(Site site) {
    double capacity = world.hosts().values().stream().mapToDouble(StreamHost::capacity).sum();
    double groups = site.groupCost() * site.groups() * site.hosts() * GROUP_SHARE_PER_HOST;
    return (site.rate() * Client.meanLoadSeconds(site) + groups) / capacity;
  }

  public Plan plan() {
    return plan;
  }

  public Agenda agenda() {
    return agenda;
  }

  public World world() {
    return world;
  }

  /** Returns the zones of hosts and proxies, by their names. */
  public Map<String, String> zones() {
    Map<String, String> zones = new LinkedHashMap<>();
    world.hosts().forEach((name, host) -> zones.put(name, host.machine().zone()));
    proxies.forEach((name, proxy) -> zones.put(name, proxy.machine().zone()));
    return zones;
  }

  /** Returns the trace. Listeners must be added before {@link #begin}. */
  public Trace trace() {
    return trace;
  }

  public Checks checks() {
    return checks;
  }

  public ServiceStatistics service() {
    return service;
  }

  /** Returns when the plan ends, in microseconds of the run. */
  public long end() {
    return plan.seconds() * SECOND;
  }

  /** Starts all actors, and schedules the clients and the faults. */
  public void begin() {
    world.hosts().values().forEach(host -> host.start(true));
    world.discovery().start();
    proxies.values().forEach(proxy -> proxy.start(true));
    scheduleClients();
    plan.faults().forEach(this::scheduleFault);
    agenda.at(
        Math.max(plan.lastFaultEndMillis() * MILLI, FIRST_CLIENT),
        () -> world.publish(new Event.AllFaultsOver()));
    onTick();
  }

  private void build(Site site, ProxyFactory factory) {
    RandomStreams.Stream models = draws.of("models");
    List<String> zones = site.zones();
    double[] shares = site.kinds().stream().mapToDouble(Site.HostKind::share).toArray();
    for (int i = 0; i < site.hosts(); i++) {
      String name = "s-" + (i + 1);
      Machine machine = world.machine(name, zones.get(i % zones.size()), 1, i + 1);
      Site.HostKind kind = site.kinds().get(models.pick(shares));
      world.hosts().put(name, new StreamHost(world, name, machine, kind));
    }
    world.discovery(
        new Discovery(
            world,
            List.of(
                world.machine("discovery-1", zones.get(0), 2, 1),
                world.machine("discovery-2", zones.get(0), 2, 2))));
    world.loadBalancer(new UpstreamLoadBalancer(world));
    for (int i = 0; i < site.proxies(); i++) {
      String name = "n" + i;
      Machine machine = world.machine(name, zones.get(i % zones.size()), 0, i + 1);
      proxies.put(name, factory.create(world, name, i, machine));
    }
    for (int i = 0; i < zones.size(); i++) {
      Machine machine = world.machine("clients-" + zones.get(i), zones.get(i), 4, i + 1);
      clientPrograms.add(new Program(machine, machine.name(), 0, Integer.MAX_VALUE));
    }
  }

  private void onTick() {
    if (reachability != null) {
      reachability.update(agenda.now());
    }
    checks.onTick(agenda.now());
    agenda.after(Checks.TICK_MICROS, this::onTick);
  }

  private void scheduleFault(Fault fault) {
    agenda.at(
        fault.atMillis() * MILLI,
        () -> {
          world.publish(new Event.FaultBegan(fault.toString()));
          fault.kind().begin().apply(faultContext, fault);
        });
    agenda.at(
        fault.untilMillis() * MILLI,
        () -> {
          fault.kind().end().apply(faultContext, fault);
          world.publish(new Event.FaultEnded(fault.toString()));
        });
  }

  /**
   * Schedules the plan's regular clients. The numbers of all clients are drawn, including those
   * that the plan leaves out, so that the others do not change.
   */
  private void scheduleClients() {
    RandomStreams.Stream stream = draws.of("arrivals");
    double at = FIRST_CLIENT;
    for (int number = 0; at < plan.seconds() * SECOND; number++) {
      Program home = stream.pick(clientPrograms);
      if (plan.clients().contains(number)) {
        scheduleClient((long) at, home, number);
      }
      at += stream.exponential(SECOND / plan.rate());
    }
  }

  private void scheduleClient(long at, Program home, int number) {
    agenda.at(at, () -> new Client(world, home.machine(), home, number).start());
  }

  /** Clients that faults add. */
  private final class ClientSource implements FaultContext.ClientGenerator {
    @Override
    public void addClients(double rate, long millis) {
      RandomStreams.Stream stream = draws.of("burst " + agenda.now());
      double at = agenda.now();
      double until = at + millis * MILLI;
      for (; at < until; at += stream.exponential(SECOND / rate)) {
        scheduleClient((long) at, stream.pick(clientPrograms), nextExtraClient++);
      }
    }

    @Override
    public void addBadClients(BadClient.Kind kind, double rate, long millis) {
      RandomStreams.Stream stream = draws.of("bad " + kind + agenda.now());
      double at = agenda.now();
      double until = at + millis * MILLI;
      for (int i = 0; at < until; i++) {
        Program home = stream.pick(clientPrograms);
        int number = i;
        agenda.at(
            (long) at, () -> new BadClient(world, kind, home.machine(), home, number).start());
        at += stream.exponential(SECOND / rate);
      }
    }
  }

  /** Facts about the run that the rules may use and the proxies do not know. */
  private final class SimulationTruth implements GroundTruth {
    @Override
    public long slack() {
      return environment.slack();
    }

    @Override
    public long clientCalmSince(String flow) {
      return world.flows().clientCalmSince(flow);
    }

    @Override
    public long hostCalmSince(String flow) {
      return world.flows().hostCalmSince(flow);
    }

    @Override
    public long proxyCalmSince(String proxy) {
      ProxyInstance node = proxies.get(proxy);
      return node == null ? 0 : node.pausedUntil();
    }

    @Override
    public long discoverySoundSince(String proxy) {
      return world.discovery().soundSince(proxies.get(proxy).machine());
    }

    @Override
    public Set<String> runningMembers() {
      Set<String> members = new TreeSet<>();
      for (ProxyInstance proxy : proxies.values()) {
        if (proxy.isMember()) {
          members.add(proxy.name());
        }
      }
      return members;
    }

    @Override
    public long mutuallyReachableSince(String one, String other) {
      return reachability.since(one, other);
    }

    @Override
    public long[] datagrams(String proxy) {
      Machine machine = proxies.get(proxy).machine();
      return new long[] {machine.sentDatagrams(), machine.sentDatagramBytes()};
    }

    @Override
    public String zone(String name) {
      ProxyInstance proxy = proxies.get(name);
      return proxy != null ? proxy.machine().zone() : world.hosts().get(name).machine().zone();
    }

    @Override
    public boolean zoneHasCapacity(String proxy, long forMicros) {
      List<String> usable = usableHosts(forMicros);
      long hosts = world.hosts().keySet().stream().filter(h -> zone(h).equals(zone(proxy))).count();
      return 2 * usable.stream().filter(h -> zone(h).equals(zone(proxy))).count() > hosts;
    }

    @Override
    public int descriptors(String proxy) {
      return proxies.get(proxy).descriptors();
    }

    @Override
    public int descriptorLimit(String proxy) {
      return plan.sockets();
    }

    @Override
    public double fleetLoad() {
      double load = 0;
      double capacity = 0;
      for (StreamHost host : world.hosts().values()) {
        if (host.isServing()) {
          load += host.utilization() * host.currentCapacity();
          capacity += host.currentCapacity();
        }
      }
      return capacity == 0 ? 1 : load / capacity;
    }

    @Override
    public List<String> usableHosts(long forMicros) {
      return world.hosts().values().stream()
          .filter(host -> host.isServing() && agenda.now() - host.since() >= forMicros)
          .filter(host -> host.utilization() < MAX_UTILIZATION)
          .filter(
              host ->
                  proxies.values().stream()
                      .anyMatch(proxy -> proxy.machine().zone().equals(host.machine().zone())))
          .map(StreamHost::name)
          .toList();
    }
  }
}
