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
 * @param membership whether the proxies keep a view of the fleet
 */
public record Plan(
    long seed,
    int seconds,
    int proxies,
    int hosts,
    double rate,
    int sockets,
    List<Fault> faults,
    Numbers clients,
    View view) {

  /** What the proxies do together; each does what those before it do. */
  public enum View {
    /** Nothing. */
    NONE("off"),
    /** They keep a view of the fleet. */
    MEMBERS("membership"),
    /** They share the fleet's budgets by who is there. */
    SHARES("shares"),
    /** Each asks a subset of the hosts. */
    SUBSETS("subsets");

    private final String key;

    View(String key) {
      this.key = key;
    }

    /** Its name in scripts and options. */
    public String key() {
      return key;
    }
  }

  /** The usual day. */
  public static final int SECONDS = 60;

  public static final int PROXIES = 3;
  public static final int HOSTS = 12;
  public static final double RATE = 13;

  /** Faults begin no earlier than this, and are over so long before the end. */
  private static final long FIRST_MILLIS = 4_000;

  /** After the last fault everything is to be sound again within this. */
  public static final long RECOVERY_MILLIS = 16_000;

  /** For so long at the end of a run everything is to be sound. */
  public static final long SOUND_MILLIS = 14_000;

  /** A run that has room for faults, for what follows them, and for the proof that all is well. */
  public static final int LEAST_SECONDS = 40;

  /** Share of kinds that a seed switches on, at least and at most. */
  private static final double LEAST_KINDS = 0.05;

  private static final double MOST_KINDS = 0.35;

  private static final double FEW_SOCKETS = 0.15;
  private static final int[] FEW = {130, 400};

  /** Descriptors with which no limit binds. */
  public static final int USUAL_SOCKETS = 1_024;

  /** The usual number of proxies that ask a host, and what smaller fleets play with. */
  private static final int ASKERS = 8;

  private static final int FEW_ASKERS = 2;
  private static final int ASKERS_FROM = 14;

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
    double share = swarm.between(LEAST_KINDS, MOST_KINDS);
    int sockets = swarm.chance(FEW_SOCKETS) ? swarm.between(FEW[0], FEW[1]) : USUAL_SOCKETS;
    long until = seconds * 1_000L - RECOVERY_MILLIS - SOUND_MILLIS;
    List<Fault> faults = new ArrayList<>();
    for (FaultKind kind : Kinds.ALL) {
      RandomStreams.Stream stream = draws.of("fault " + kind.name());
      if (kind.most() == 0 || !stream.chance(share)) {
        continue;
      }
      int count = stream.between(1, kind.most());
      List<String> targets = targets(kind.on(), proxies, hosts);
      for (int i = 0; i < count; i++) {
        Fault fault = kind.draw(stream, targets, FIRST_MILLIS, until);
        if (fault.untilMillis() <= until) {
          faults.add(fault);
        }
      }
    }
    faults.sort((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
    return new Plan(seed, seconds, proxies, hosts, rate, sockets, faults, Numbers.ALL, View.NONE);
  }

  /** The names that a fault of such a kind may be aimed at; empty where it needs none. */
  static List<String> targets(FaultKind.On on, int proxies, int hosts) {
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
  public long faultsOverMillis() {
    return faults.stream().mapToLong(Fault::untilMillis).max().orElse(0);
  }

  /** The same without what only virtual time can show: a clock of its own for each machine. */
  public Plan playable() {
    return with(
        faults.stream().filter(fault -> !fault.kind().name().equals("clock-step")).toList());
  }

  public Plan with(List<Fault> left) {
    return new Plan(seed, seconds, proxies, hosts, rate, sockets, left, clients, view);
  }

  /** The same with no more than so many seconds, which ends it early. */
  public Plan until(int shorter) {
    return new Plan(seed, shorter, proxies, hosts, rate, sockets, faults, clients, view);
  }

  public Plan with(Numbers left) {
    return new Plan(seed, seconds, proxies, hosts, rate, sockets, faults, left, view);
  }

  /** Whether the proxies keep a view of the fleet. */
  public boolean membership() {
    return view != View.NONE;
  }

  /** Whether they share the fleet's budgets by who is there. */
  public boolean shares() {
    return view.compareTo(View.SHARES) >= 0;
  }

  /** Whether each asks a subset of the hosts. */
  public boolean subsets() {
    return view == View.SUBSETS;
  }

  /** By how many proxies a host is asked at least; in small fleets less than usual. */
  public int askers() {
    return proxies < ASKERS_FROM ? FEW_ASKERS : ASKERS;
  }

  /** The same on another number of hosts, no fewer than faults are aimed at. */
  public Plan onHosts(int count) {
    return new Plan(seed, seconds, proxies, count, rate, sockets, faults, clients, view);
  }

  /** The same with proxies that do this together. */
  public Plan with(View together) {
    return new Plan(seed, seconds, proxies, hosts, rate, sockets, faults, clients, together);
  }
}
