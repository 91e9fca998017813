package brassbank.sim.fault;

import brassbank.sim.time.RandomStreams;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The bad nights of a large fleet, each drawn from a seed: what one proxy may do and all of them
 * must not. Unlike {@link Plan#drawn}, the faults belong together.
 */
public enum FleetScenario {
  /** Nothing happens: what a fleet costs by itself. */
  CALM {
    @Override
    void draw(FaultSchedule site) {}
  },

  /** Ten of fourteen proxies are killed at once during a release, while discovery is overbooked. */
  HERD {
    @Override
    void draw(FaultSchedule site) {
      site.add("discovery-slow", 8_000, 8_000, "", site.between(3, 8));
      site.proxies().stream()
          .limit(site.proxies().size() * 5L / 7)
          .forEach(name -> site.add("proxy-crash", 10_000, 400 + site.between(0, 200), name, 0));
      site.replaceHosts(0.3, 7_000, 9_000);
    }
  },

  /**
   * A zone's hosts and half of its proxies are lost at once; they return cold, and knowing nothing.
   */
  ZONE {
    @Override
    void draw(FaultSchedule site) {
      int away = site.between(5_000, 8_000);
      int zone = site.between(0, 1);
      List<String> hosts = site.inZone(FaultKind.TargetType.HOST, zone);
      hosts.forEach(name -> site.add("host-dark", 8_000, away, name, 0));
      List<String> proxies = site.inZone(FaultKind.TargetType.PROXY, zone);
      proxies.stream()
          .limit(proxies.size() / 2)
          .forEach(name -> site.add("proxy-dark", 8_000, away, name, 0));
      site.addFailingHosts(site.inZone(FaultKind.TargetType.HOST, 1 - zone));
    }
  },

  /** Six in ten hosts are replaced within 7 s, and some of the rest are bad. */
  JOIN {
    @Override
    void draw(FaultSchedule site) {
      int count = site.replaceHosts(0.6, 7_000, 7_000);
      site.addFailingHosts(site.hosts().subList(count, site.hosts().size()));
    }
  },

  /**
   * Three in seven proxies die one after the other and stay away for most of the night, while six
   * in ten hosts are replaced: what the dead might have placed at cold hosts is there for the rest.
   */
  SHRUNK {
    @Override
    void draw(FaultSchedule site) {
      int dead = site.proxies().size() * 3 / 7;
      for (int i = 0; i < dead; i++) {
        site.add("proxy-crash", 3_000 + 400L * i, 30_000, site.proxies().get(i), 0);
      }
      site.replaceHosts(0.85, 9_000, 1_500);
    }
  };

  public static final int PROXIES = 14;
  public static final int HOSTS = 60;

  /** New clients a second: each proxy meets a host seldom. */
  public static final double CLIENTS_PER_SECOND = 28;

  abstract void draw(FaultSchedule site);

  /** The night of a seed; the same for the same seed. */
  public Plan plan(long seed, int seconds, int proxies, int hosts, double rate) {
    FaultSchedule site =
        new FaultSchedule(new RandomStreams(seed).of("night " + name()), proxies, hosts);
    draw(site);
    site.faults.sort(Comparator.comparingLong(Fault::atMillis));
    return new Plan(
        seed,
        seconds,
        proxies,
        hosts,
        rate,
        Plan.DEFAULT_SOCKETS,
        site.faults,
        IndexSet.ALL,
        Plan.FleetMode.NONE);
  }

  /** What a night is drawn on. */
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

    /** The machines of one of the two zones, which a run deals out in turn. */
    List<String> inZone(FaultKind.TargetType on, int zone) {
      List<String> all = Plan.targets(on, proxyCount, hostCount);
      return IntStream.range(0, all.size())
          .filter(i -> i % 2 == zone)
          .mapToObj(all::get)
          .collect(Collectors.toCollection(ArrayList::new));
    }

    /** The first of the hosts, this share of them, leave and come anew, evenly over a time. */
    int replaceHosts(double share, int from, int within) {
      int count = (int) (share * hosts.size());
      for (int i = 0; i < count; i++) {
        add(
            "host-release",
            from + (long) within * i / count,
            between(3_000, 5_000),
            hosts.get(i),
            0);
      }
      return count;
    }

    /** One in six of these hosts, at least one, answers most attempts ERR. */
    void addFailingHosts(List<String> of) {
      shuffled(of).stream()
          .limit(Math.max(1, of.size() / 6))
          .forEach(name -> add("host-errs", 6_000, 14_000, name, 0.75));
    }
  }
}
