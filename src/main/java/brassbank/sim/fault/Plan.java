package brassbank.sim.fault;

import brassbank.sim.time.RandomStreams;
import java.util.ArrayList;
import java.util.List;

/**
 * All that decides a run beside the code: the seed, the site's size, the faults, and which clients
 * come.
 *
 * @param seconds how long the run is
 * @param rate new clients a second
 * @param sockets descriptors that each proxy may hold
 * @param clients which of the clients that the seed draws come
 * @param usesMembership whether the proxies keep a view of the fleet
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

  /** What the proxies do together; each does what those before it do. */
  public enum FleetMode {
    /** Nothing. */
    NONE("off"),
    /** They keep a view of the fleet. */
    MEMBERS("membership"),
    /** They share the fleet's budgets by who is there. */
    SHARES("shares"),
    /** Each asks a subset of the hosts. */
    SUBSETS("subsets");

    private final String key;

    FleetMode(String key) {
      this.key = key;
    }

    /** Its name in scripts and options. */
    public String key() {
      return key;
    }
  }

  /** The usual day. */
  public static final int DEFAULT_SECONDS = 60;

  public static final int DEFAULT_PROXIES = 3;
  public static final int DEFAULT_HOSTS = 12;
  public static final double DEFAULT_CLIENTS_PER_SECOND = 13;

  /** Faults begin no earlier than this, and are over so long before the end. */
  private static final long FIRST_FAULT_MILLIS = 4_000;

  /** After the last fault everything is to be sound again within this. */
  public static final long RECOVERY_MILLIS = 16_000;

  /** For so long at the end of a run everything is to be sound. */
  public static final long STABLE_MILLIS = 14_000;

  /** A run that has room for faults, for what follows them, and for the proof that all is well. */
  public static final int MIN_SECONDS = 40;

  /** Share of kinds that a seed switches on, at least and at most. */
  private static final double MIN_KIND_SHARE = 0.05;

  private static final double MAX_KIND_SHARE = 0.35;

  private static final double FEW_SOCKETS_PROBABILITY = 0.15;
  private static final int[] FEW_SOCKETS_RANGE = {130, 400};

  /** Descriptors with which no limit binds. */
  public static final int DEFAULT_SOCKETS = 1_024;

  /** The usual number of proxies that ask a host, and what smaller fleets play with. */
  private static final int MIN_PROXIES_PER_HOST = 8;

  private static final int SMALL_FLEET_MIN_PROXIES_PER_HOST = 2;
  private static final int LARGE_FLEET_PROXIES = 14;

  public Plan {
    faults = List.copyOf(faults);
  }

  /**
   * Draws what goes wrong: a random subset of the kinds ("swarm testing", Groce and others, ISSTA
   * 2012), and for each of them its number, times, targets and sizes from a stream of its own.
   */
  public static Plan drawn(long seed, int seconds, int proxies, int hosts, double rate) {
    RandomStreams draws = new RandomStreams(seed);
    RandomStreams.Stream swarm = draws.of("swarm");
    double share = swarm.between(MIN_KIND_SHARE, MAX_KIND_SHARE);
    int sockets =
        swarm.chance(FEW_SOCKETS_PROBABILITY)
            ? swarm.between(FEW_SOCKETS_RANGE[0], FEW_SOCKETS_RANGE[1])
            : DEFAULT_SOCKETS;
    long until = seconds * 1_000L - RECOVERY_MILLIS - STABLE_MILLIS;
    List<Fault> faults = new ArrayList<>();
    for (FaultKind kind : FaultKinds.ALL) {
      RandomStreams.Stream stream = draws.of("fault " + kind.name());
      if (kind.maxPerRun() == 0 || !stream.chance(share)) {
        continue;
      }
      int count = stream.between(1, kind.maxPerRun());
      List<String> targets = targets(kind.targetType(), proxies, hosts);
      for (int i = 0; i < count; i++) {
        Fault fault = kind.draw(stream, targets, FIRST_FAULT_MILLIS, until);
        if (fault.untilMillis() <= until) {
          faults.add(fault);
        }
      }
    }
    faults.sort((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    return new Plan(
        seed, seconds, proxies, hosts, rate, sockets, faults, IndexSet.ALL, FleetMode.NONE);
  }

  /** The names that a fault of such a kind may be aimed at; empty where it needs none. */
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
        // It is aimed at everything.
      }
    }
    return targets;
  }

  /** When the last fault is over, in milliseconds. */
  public long lastFaultEndMillis() {
    return faults.stream().mapToLong(Fault::untilMillis).max().orElse(0);
  }

  /** The same without what only virtual time can show: a clock of its own for each machine. */
  public Plan withoutClockSteps() {
    return with(
        faults.stream().filter(fault -> !fault.kind().name().equals("clock-step")).toList());
  }

  public Plan with(List<Fault> left) {
    return new Plan(seed, seconds, proxies, hosts, rate, sockets, left, clients, fleetMode);
  }

  /** The same with no more than so many seconds, which ends it early. */
  public Plan withSeconds(int shorter) {
    return new Plan(seed, shorter, proxies, hosts, rate, sockets, faults, clients, fleetMode);
  }

  public Plan with(IndexSet left) {
    return new Plan(seed, seconds, proxies, hosts, rate, sockets, faults, left, fleetMode);
  }

  /** Whether the proxies keep a view of the fleet. */
  public boolean usesMembership() {
    return fleetMode != FleetMode.NONE;
  }

  /** Whether they share the fleet's budgets by who is there. */
  public boolean sharesBudgets() {
    return fleetMode.compareTo(FleetMode.SHARES) >= 0;
  }

  /** Whether each asks a subset of the hosts. */
  public boolean usesSubsets() {
    return fleetMode == FleetMode.SUBSETS;
  }

  /** By how many proxies a host is asked at least; in small fleets less than usual. */
  public int minProxiesPerHost() {
    return proxies < LARGE_FLEET_PROXIES ? SMALL_FLEET_MIN_PROXIES_PER_HOST : MIN_PROXIES_PER_HOST;
  }

  /** The same on another number of hosts, no fewer than faults are aimed at. */
  public Plan withHosts(int count) {
    return new Plan(seed, seconds, proxies, count, rate, sockets, faults, clients, fleetMode);
  }

  /** The same with proxies that do this together. */
  public Plan with(FleetMode together) {
    return new Plan(seed, seconds, proxies, hosts, rate, sockets, faults, clients, together);
  }
}
