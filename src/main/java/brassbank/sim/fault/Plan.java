package brassbank.sim.fault;

import brassbank.sim.time.RandomStreams;
import java.util.ArrayList;
import java.util.List;

/**
 * Complete input of a simulation run: the seed, the size of the site, the faults and the clients.
 * The same program produces the same run for equal plans.
 *
 * @param seconds duration of the run
 * @param rate new clients per second
 * @param sockets descriptor limit of each proxy
 * @param clients indexes of the drawn clients that take part; the others are left out
 * @param fleetMode how the proxies cooperate
 */
public record Plan(
    long seed,
    int seconds,
    int proxies,
    int hosts,
    double rate,
    int sockets,
    List<Fault> faults,
    IndexSet clients,
    FleetMode fleetMode) {

  /** How the proxies cooperate; each mode includes all modes before it. */
  public enum FleetMode {
    /** The proxies do not cooperate. */
    NONE("off"),
    /** The proxies maintain a view of the fleet. */
    MEMBERS("membership"),
    /** The proxies divide the fleet's budgets among the live members. */
    SHARES("shares"),
    /** Each proxy uses a subset of the hosts. */
    SUBSETS("subsets");

    private final String key;

    FleetMode(String key) {
      this.key = key;
    }

    /** Returns the name used in scripts and options. */
    public String key() {
      return key;
    }
  }

  /** Default duration of a run. */
  public static final int DEFAULT_SECONDS = 60;

  public static final int DEFAULT_PROXIES = 3;
  public static final int DEFAULT_HOSTS = 12;
  public static final double DEFAULT_CLIENTS_PER_SECOND = 13;

  /** Earliest start of a drawn fault, in milliseconds since the start of the run. */
  private static final long FIRST_FAULT_MILLIS = 4_000;

  /** Time after the last fault within which the system must recover. */
  public static final long RECOVERY_MILLIS = 16_000;

  /** Length of the period at the end of a run in which the system must be stable. */
  public static final long STABLE_MILLIS = 14_000;

  /** Shortest run that leaves time for faults, recovery and the stable period. */
  public static final int MIN_SECONDS = 40;

  /** Range of the probability with which a seed enables each kind of fault. */
  private static final double MIN_KIND_SHARE = 0.05;

  private static final double MAX_KIND_SHARE = 0.35;

  private static final double FEW_SOCKETS_PROBABILITY = 0.15;
  private static final int[] FEW_SOCKETS_RANGE = {130, 400};

  /** Descriptor limit that a run does not reach. */
  public static final int DEFAULT_SOCKETS = 1_024;

  /** Minimum number of proxies that use each host, in large and in small fleets. */
  private static final int MIN_PROXIES_PER_HOST = 8;

  private static final int SMALL_FLEET_MIN_PROXIES_PER_HOST = 2;
  private static final int LARGE_FLEET_PROXIES = 14;

  public Plan {
    faults = List.copyOf(faults);
  }

  /**
   * Draws the faults of a seed: a random subset of the kinds ("swarm testing", Groce et al., ISSTA
   * 2012), and for each kind the number, times, targets and magnitudes from its own random stream.
   */
  public static Plan drawn(long seed, int seconds, int proxies, int hosts, double rate) {
    RandomStreams draws = new RandomStreams(seed);
    RandomStreams.Stream swarm = draws.of("swarm");
    double share = swarm.between(MIN_KIND_SHARE, MAX_KIND_SHARE);
    int sockets =
        swarm.chance(FEW_SOCKETS_PROBABILITY)
            ? swarm.between(FEW_SOCKETS_RANGE[0], FEW_SOCKETS_RANGE[1])
            : DEFAULT_SOCKETS;
    long untilMillis = seconds * 1_000L - RECOVERY_MILLIS - STABLE_MILLIS;
    List<Fault> faults = new ArrayList<>();
    for (FaultKind kind : FaultKinds.ALL) {
      RandomStreams.Stream stream = draws.of("fault " + kind.name());
      if (kind.maxPerRun() == 0 || !stream.chance(share)) {
        continue;
      }
      int count = stream.between(1, kind.maxPerRun());
      List<String> targets = targets(kind.targetType(), proxies, hosts);
      for (int i = 0; i < count; i++) {
        Fault fault = kind.draw(stream, targets, FIRST_FAULT_MILLIS, untilMillis);
        if (fault.untilMillis() <= untilMillis) {
          faults.add(fault);
        }
      }
    }
    faults.sort((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    return new Plan(
        seed, seconds, proxies, hosts, rate, sockets, faults, IndexSet.ALL, FleetMode.NONE);
  }

  /** Returns the valid targets of a type; empty if the type needs no target name. */
  static List<String> targets(FaultKind.TargetType on, int proxies, int hosts) {
    List<String> targets = new ArrayList<>();
    switch (on) {
      case HOST -> {
        for (int i = 1; i <= hosts; i++) {
          targets.add("s-" + i);
        }
      }
      case PROXY -> {
        for (int i = 0; i < proxies; i++) {
          targets.add("n" + i);
        }
      }
      case ZONE -> targets.addAll(List.of("leith", "dalkeith"));
      default -> {
        // Faults of the whole system and of links have no list of targets.
      }
    }
    return targets;
  }

  /** Returns the end of the last fault, in milliseconds since the start of the run. */
  public long lastFaultEndMillis() {
    return faults.stream().mapToLong(Fault::untilMillis).max().orElse(0);
  }

  /**
   * Returns this plan without clock steps, which real processes on one machine cannot play because
   * they share a clock.
   */
  public Plan withoutClockSteps() {
    return with(
        faults.stream().filter(fault -> !fault.kind().name().equals("clock-step")).toList());
  }

  public Plan with(List<Fault> remaining) {
    return new Plan(seed, seconds, proxies, hosts, rate, sockets, remaining, clients, fleetMode);
  }

  /** Returns this plan with another, usually newSeconds, duration; the faults stay. */
  public Plan withSeconds(int newSeconds) {
    return new Plan(seed, newSeconds, proxies, hosts, rate, sockets, faults, clients, fleetMode);
  }

  public Plan with(IndexSet remaining) {
    return new Plan(seed, seconds, proxies, hosts, rate, sockets, faults, remaining, fleetMode);
  }

  /** Returns whether the proxies maintain a view of the fleet. */
  public boolean usesMembership() {
    return fleetMode != FleetMode.NONE;
  }

  /** Returns whether the proxies divide the fleet's budgets among the live members. */
  public boolean sharesBudgets() {
    return fleetMode.compareTo(FleetMode.SHARES) >= 0;
  }

  /** Returns whether each proxy uses a subset of the hosts. */
  public boolean usesSubsets() {
    return fleetMode == FleetMode.SUBSETS;
  }

  /** Returns the minimum number of proxies that use each host; it is lower in small fleets. */
  public int minProxiesPerHost() {
    return proxies < LARGE_FLEET_PROXIES ? SMALL_FLEET_MIN_PROXIES_PER_HOST : MIN_PROXIES_PER_HOST;
  }

  /** Returns this plan with another number of hosts, which must include every target of a fault. */
  public Plan withHosts(int count) {
    return new Plan(seed, seconds, proxies, count, rate, sockets, faults, clients, fleetMode);
  }

  /** Returns this plan with another mode of cooperation. */
  public Plan with(FleetMode mode) {
    return new Plan(seed, seconds, proxies, hosts, rate, sockets, faults, clients, mode);
  }
}
