package brassbank.sim.fault;

import brassbank.sim.time.RandomStreams;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Scenarios of correlated faults in a large fleet, with details drawn from a seed. They test for
 * behaviour that is harmless in one proxy but not in all proxies at the same time. Unlike the
 * faults of {@link Plan#drawn}, the faults of a scenario depend on each other.
 */
public enum FleetScenario {
  /** No faults: measures the cost of running a fleet. */
  CALM {
    @Override
    void draw(FaultSchedule schedule) {}
  },

  /** Five in seven proxies are killed together during a release, while discovery is overloaded. */
  HERD {
    @Override
    void draw(FaultSchedule schedule) {
      schedule.add("discovery-slow", 8_000, 8_000, "", schedule.between(3, 8));
      schedule.proxies().stream()
          .limit(schedule.proxies().size() * 5L / 7)
          .forEach(
              name -> schedule.add("proxy-crash", 10_000, 400 + schedule.between(0, 200), name, 0));
      schedule.replaceHosts(0.3, 7_000, 9_000);
    }
  },

  /**
   * All hosts and half of the proxies of one zone lose power together. The hosts return cold and
   * the proxies without state; meanwhile some hosts of the other zone fail most attempts.
   */
  ZONE {
    @Override
    void draw(FaultSchedule schedule) {
      int downMillis = schedule.between(5_000, 8_000);
      int zone = schedule.between(0, 1);
      List<String> hosts = schedule.inZone(FaultKind.TargetType.HOST, zone);
      hosts.forEach(name -> schedule.add("host-dark", 8_000, downMillis, name, 0));
      List<String> proxies = schedule.inZone(FaultKind.TargetType.PROXY, zone);
      proxies.stream()
          .limit(proxies.size() / 2)
          .forEach(name -> schedule.add("proxy-dark", 8_000, downMillis, name, 0));
      schedule.addFailingHosts(schedule.inZone(FaultKind.TargetType.HOST, 1 - zone));
    }
  },

  /** Six in ten hosts are replaced within 7 s, and some of the others fail most attempts. */
  JOIN {
    @Override
    void draw(FaultSchedule schedule) {
      int count = schedule.replaceHosts(0.6, 7_000, 7_000);
      schedule.addFailingHosts(schedule.hosts().subList(count, schedule.hosts().size()));
    }
  },

  /**
   * Three in seven proxies are killed one after the other and stay down for most of the run, while
   * 85% of the hosts are replaced. The remaining proxies may use the cold-host budget shares of the
   * stopped ones.
   */
  SHRUNK {
    @Override
    void draw(FaultSchedule schedule) {
      int stopped = schedule.proxies().size() * 3 / 7;
      for (int i = 0; i < stopped; i++) {
        schedule.add("proxy-crash", 3_000 + 400L * i, 30_000, schedule.proxies().get(i), 0);
      }
      schedule.replaceHosts(0.85, 9_000, 1_500);
    }
  };

  public static final int PROXIES = 14;
  public static final int HOSTS = 60;

  /** New clients per second: low enough that each proxy uses a given host only rarely. */
  public static final double CLIENTS_PER_SECOND = 28;

  abstract void draw(FaultSchedule schedule);

  /** Returns the plan of this scenario for a seed; equal arguments give equal plans. */
  public Plan plan(long seed, int seconds, int proxies, int hosts, double rate) {
    FaultSchedule schedule =
        new FaultSchedule(new RandomStreams(seed).of("night " + name()), proxies, hosts);
    draw(schedule);
    schedule.faults.sort(Comparator.comparingLong(Fault::atMillis));
    return new Plan(
        seed,
        seconds,
        proxies,
        hosts,
        rate,
        Plan.DEFAULT_SOCKETS,
        schedule.faults,
        IndexSet.ALL,
        Plan.FleetMode.NONE);
  }

  /** Collects the faults of a scenario. */
  static final class FaultSchedule {
    private final RandomStreams.Stream stream;
    private final List<Fault> faults = new ArrayList<>();
    private final int proxyCount;
    private final int hostCount;
    private final List<String> proxies;
    private final List<String> hosts;

    private FaultSchedule(RandomStreams.Stream stream, int proxies, int hosts) {
      proxyCount = proxies;
      hostCount = hosts;
      this.stream = stream;
      this.proxies = shuffled(Plan.targets(FaultKind.TargetType.PROXY, proxies, hosts));
      this.hosts = shuffled(Plan.targets(FaultKind.TargetType.HOST, proxies, hosts));
    }

    private List<String> shuffled(List<String> names) {
      for (int i = names.size() - 1; i > 0; i--) {
        Collections.swap(names, i, stream.between(0, i));
      }
      return names;
    }

    List<String> proxies() {
      return proxies;
    }

    List<String> hosts() {
      return hosts;
    }

    int between(int least, int most) {
      return stream.between(least, most);
    }

    void add(String kind, long atMillis, long forMillis, String target, double size) {
      faults.add(new Fault(FaultKinds.byName(kind), atMillis, forMillis, target, size));
    }

    /**
     * Returns the machines of one of the two zones; a run assigns machines to zones alternately.
     */
    List<String> inZone(FaultKind.TargetType on, int zone) {
      List<String> all = Plan.targets(on, proxyCount, hostCount);
      return IntStream.range(0, all.size())
          .filter(i -> i % 2 == zone)
          .mapToObj(all::get)
          .collect(Collectors.toCollection(ArrayList::new));
    }

    /**
     * Replaces the first {@code share} of the hosts, spread evenly over {@code withinMillis}.
     *
     * @return the number of replaced hosts
     */
    int replaceHosts(double share, int fromMillis, int withinMillis) {
      int count = (int) (share * hosts.size());
      for (int i = 0; i < count; i++) {
        add(
            "host-release",
            fromMillis + (long) withinMillis * i / count,
            between(3_000, 5_000),
            hosts.get(i),
            0);
      }
      return count;
    }

    /** Makes one in six of these hosts, and at least one, answer most attempts with ERR. */
    void addFailingHosts(List<String> candidates) {
      shuffled(candidates).stream()
          .limit(Math.max(1, candidates.size() / 6))
          .forEach(name -> add("host-errs", 6_000, 14_000, name, 0.75));
    }
  }
}
