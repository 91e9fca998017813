package brassbank.sim.fault;

import brassbank.sim.actor.BadClient;
import brassbank.sim.actor.Discovery;
import brassbank.sim.actor.ProxyInstance;
import brassbank.sim.actor.StreamHost;
import brassbank.sim.net.Disturbance;
import brassbank.sim.net.Machine;
import brassbank.sim.time.RandomStreams;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;

/** All kinds of fault, grouped by type of target. */
public final class FaultKinds {
  private static final long MILLI = 1_000;

  /** Range of delays, in microseconds, before discovery notices that a host's process has ended. */
  private static final long[] NOTICE_MICROS = {1_800 * MILLI, 4_200 * MILLI};

  /** Range of delays before discovery notices that a host no longer responds. */
  private static final long[] SILENT_NOTICE_MICROS = {4_100 * MILLI, 13_000 * MILLI};

  /** Range of delays before discovery lists a host that has started. */
  private static final long[] ADD_MICROS = {1_200 * MILLI, 2_400 * MILLI};

  private static final FaultKind.Action NOTHING = (context, fault) -> {};

  /** A kind that requires the platform to hold the listening socket from the start of the run. */
  public static final String PROXY_UPGRADE = "proxy-upgrade";

  /** All kinds in a fixed order, in which {@link Plan#drawn} considers them. */
  public static final List<FaultKind> ALL = all();

  private FaultKinds() {}

  private static List<FaultKind> all() {
    List<FaultKind> all = new ArrayList<>();
    all.addAll(hosts());
    all.addAll(reports());
    all.addAll(network());
    all.addAll(discovery());
    all.addAll(proxies());
    all.addAll(clients());
    all.addAll(LinkFaultKinds.all());
    return List.copyOf(all);
  }

  /** Returns the kind with this name, or null. */
  public static FaultKind byName(String name) {
    return ALL.stream().filter(kind -> kind.name().equals(name)).findFirst().orElse(null);
  }

  // Faults of stream hosts.

  private static List<FaultKind> hosts() {
    List<FaultKind> all = new ArrayList<>();
    all.add(
        new FaultKind(
            "host-crash",
            "a stream host's process dies and starts again, cold",
            FaultKind.TargetType.HOST,
            500,
            8_000,
            0,
            0,
            3,
            (context, fault) -> {
              context.host(fault).kill();
              notifyDiscovery(context, fault, "DELETED", NOTICE_MICROS);
            },
            FaultKinds::restartHost));
    all.add(
        new FaultKind(
            "host-dark",
            "a stream host's machine loses its power; once it is back, the host starts cold",
            FaultKind.TargetType.HOST,
            2_000,
            12_000,
            0,
            0,
            2,
            (context, fault) -> {
              context.host(fault).losePower();
              notifyDiscovery(context, fault, "DELETED", SILENT_NOTICE_MICROS);
            },
            (context, fault) -> {
              context.host(fault).machine().restorePower();
              restartHost(context, fault);
            }));
    all.add(
        new FaultKind(
            "host-release",
            "a stream host drains, sends all away at once, ends, and starts again, cold",
            FaultKind.TargetType.HOST,
            3_000,
            9_000,
            0,
            0,
            4,
            (context, fault) -> {
              StreamHost host = context.host(fault);
              host.drain();
              notifyDiscovery(context, fault, "DRAINING", NOTICE_MICROS);
              context
                  .world()
                  .agenda()
                  .after(
                      fault.forMillis() * MILLI / 2,
                      () -> {
                        host.kill();
                        notifyDiscovery(context, fault, "DELETED", NOTICE_MICROS);
                      });
            },
            FaultKinds::restartHost));
    all.add(
        new FaultKind(
            "host-slow",
            "a stream host is so many times slower",
            FaultKind.TargetType.HOST,
            3_000,
            14_000,
            1.9,
            3,
            3,
            (context, fault) -> context.host(fault).setSlowdown(fault.size()),
            (context, fault) -> context.host(fault).setSlowdown(1)));
    all.add(
        new FaultKind(
            "all-hosts-slow",
            "what all stream hosts depend on makes each so many times slower",
            FaultKind.TargetType.ALL,
            3_200,
            14_000,
            1.9,
            3,
            1,
            (context, fault) -> context.hosts().forEach(host -> host.setSlowdown(fault.size())),
            (context, fault) -> context.hosts().forEach(host -> host.setSlowdown(1))));
    all.add(
        new FaultKind(
            "all-hosts-err",
            "what all stream hosts depend on fails: each answers this share of attempts ERR",
            FaultKind.TargetType.ALL,
            500,
            6_000,
            0.5,
            1,
            2,
            (context, fault) ->
                context
                    .hosts()
                    .forEach(host -> host.setBehavior(StreamHost.Behavior.ERRS, fault.size())),
            (context, fault) ->
                context.hosts().forEach(host -> host.setBehavior(StreamHost.Behavior.SERVES, 1))));
    all.add(
        new FaultKind(
            "host-pause",
            "nothing of a stream host runs for a while; its kernel goes on",
            FaultKind.TargetType.HOST,
            300,
            9_000,
            0,
            0,
            3,
            (context, fault) -> context.host(fault).pause(fault.forMillis() * MILLI),
            NOTHING));
    all.add(
        new FaultKind(
            "host-breaks",
            "this share of a stream host's connections is reset at once",
            FaultKind.TargetType.HOST,
            0,
            0,
            0.2,
            1,
            4,
            (context, fault) -> context.host(fault).resetConnections(fault.size()),
            NOTHING));
    for (StreamHost.Behavior behavior : StreamHost.Behavior.values()) {
      if (behavior != StreamHost.Behavior.SERVES) {
        all.add(
            new FaultKind(
                "host-" + kebabCase(behavior),
                "this share of attempts at a stream host: it " + behavior.about(),
                FaultKind.TargetType.HOST,
                1_000,
                12_000,
                0.2,
                1,
                2,
                (context, fault) -> context.host(fault).setBehavior(behavior, fault.size()),
                (context, fault) ->
                    context.host(fault).setBehavior(StreamHost.Behavior.SERVES, 1)));
      }
    }
    return all;
  }

  private static String kebabCase(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static void notifyDiscovery(
      FaultContext context, Fault fault, String status, long[] notice) {
    RandomStreams.Stream stream =
        context.world().draws().of("notice " + fault.target() + status + fault.atMillis());
    context
        .world()
        .discovery()
        .receiveStatus(context.host(fault), status, stream.micros(notice[0], notice[1]));
  }

  private static void restartHost(FaultContext context, Fault fault) {
    context.host(fault).start(false);
    notifyDiscovery(context, fault, "SERVING", ADD_MICROS);
  }

  private static List<FaultKind> reports() {
    List<FaultKind> all = new ArrayList<>();
    all.add(
        new FaultKind(
            "reports-late",
            "load reports show up so many seconds later than usual",
            FaultKind.TargetType.ALL,
            10_000,
            25_000,
            1.2,
            4.6,
            1,
            (context, fault) ->
                context
                    .hosts()
                    .forEach(host -> host.setReportDelay((long) (fault.size() * 1_000_000))),
            (context, fault) -> context.hosts().forEach(host -> host.setReportDelay(0))));
    for (StreamHost.LoadReports reports : StreamHost.LoadReports.values()) {
      if (reports != StreamHost.LoadReports.TRUE) {
        all.add(
            new FaultKind(
                "reports-" + kebabCase(reports),
                "a stream host answers probes " + reports.about(),
                FaultKind.TargetType.HOST,
                2_000,
                15_000,
                0,
                0,
                2,
                (context, fault) -> context.host(fault).setLoadReports(reports),
                (context, fault) ->
                    context.host(fault).setLoadReports(StreamHost.LoadReports.TRUE)));
      }
    }
    return all;
  }

  // Faults of the network.

  private static FaultKind disturbanceKind(
      String name,
      String about,
      FaultKind.TargetType on,
      long maxMillis,
      double[] sizeRange,
      BiFunction<FaultContext, Fault, Disturbance> disturbance) {
    return new FaultKind(
        name,
        about,
        on,
        500,
        maxMillis,
        sizeRange[0],
        sizeRange[1],
        2,
        (context, fault) -> context.beginDisturbance(fault, disturbance.apply(context, fault)),
        FaultContext::endDisturbance);
  }

  /** Returns a disturbance that blocks all traffic in the selected directions. */
  private static Disturbance blocking(BiPredicate<Machine, Machine> selected) {
    return new Disturbance() {
      @Override
      public boolean blocks(Machine from, Machine to) {
        return selected.test(from, to);
      }
    };
  }

  private static Disturbance delaying(BiPredicate<Machine, Machine> selected, long micros) {
    return new Disturbance() {
      @Override
      public long delayMicros(Machine from, Machine to) {
        return selected.test(from, to) ? micros : 0;
      }
    };
  }

  private static Disturbance throttling(
      BiPredicate<Machine, Machine> selected, long bytesPerSecond) {
    return new Disturbance() {
      @Override
      public long maxBytesPerSecond(Machine from, Machine to) {
        return selected.test(from, to) ? bytesPerSecond : Long.MAX_VALUE;
      }
    };
  }

  private static Disturbance connectDisturbance(
      BiPredicate<Machine, Machine> selected, long micros) {
    return new Disturbance() {
      @Override
      public boolean blocksConnects(Machine from, Machine to) {
        return micros == 0 && selected.test(from, to);
      }

      @Override
      public long connectDelayMicros(Machine from, Machine to) {
        return selected.test(from, to) ? micros : 0;
      }
    };
  }

  private static boolean isClientMachine(Machine machine) {
    return machine.name().startsWith("clients-");
  }

  private static List<FaultKind> network() {
    double[] noSize = {0, 0};
    List<FaultKind> all = new ArrayList<>();
    all.add(
        disturbanceKind(
            "zone-cut",
            "nothing passes between a zone and the others",
            FaultKind.TargetType.ZONE,
            17_000,
            noSize,
            (context, fault) ->
                blocking(
                    (a, b) -> a.zone().equals(fault.target()) != b.zone().equals(fault.target()))));
    all.add(
        disturbanceKind(
            "zone-mute",
            "nothing passes out of a zone, while everything comes in",
            FaultKind.TargetType.ZONE,
            9_000,
            noSize,
            (context, fault) ->
                blocking(
                    (a, b) ->
                        a.zone().equals(fault.target()) && !b.zone().equals(fault.target()))));
    all.add(
        disturbanceKind(
            "host-cut",
            "nothing passes to or from a stream host",
            FaultKind.TargetType.HOST,
            12_000,
            noSize,
            (context, fault) ->
                blocking(
                    (a, b) -> a.name().equals(fault.target()) || b.name().equals(fault.target()))));
    all.add(
        disturbanceKind(
            "host-mute",
            "nothing passes from a stream host, while everything arrives",
            FaultKind.TargetType.HOST,
            9_000,
            noSize,
            (context, fault) -> blocking((a, b) -> a.name().equals(fault.target()))));
    all.add(
        disturbanceKind(
            "proxy-cut",
            "nothing passes between a proxy and any stream host",
            FaultKind.TargetType.PROXY,
            6_000,
            noSize,
            (context, fault) ->
                blocking(
                    (a, b) ->
                        (a.name().equals(fault.target()) && b.name().startsWith("s-"))
                            || (b.name().equals(fault.target()) && a.name().startsWith("s-")))));
    all.add(
        disturbanceKind(
            "clients-cut",
            "nothing passes between a zone's clients and the proxies",
            FaultKind.TargetType.ZONE,
            4_000,
            noSize,
            (context, fault) ->
                blocking(
                    (a, b) ->
                        (isClientMachine(a) && a.zone().equals(fault.target()))
                            || (isClientMachine(b) && b.zone().equals(fault.target())))));
    all.add(
        disturbanceKind(
            "zones-late",
            "so many milliseconds more between zones, each way",
            FaultKind.TargetType.ALL,
            15_000,
            new double[] {3, 60},
            (context, fault) ->
                delaying((a, b) -> !a.zone().equals(b.zone()), (long) (fault.size() * MILLI))));
    all.add(
        disturbanceKind(
            "host-late",
            "so many milliseconds more to and from a stream host",
            FaultKind.TargetType.HOST,
            10_000,
            new double[] {5, 150},
            (context, fault) ->
                delaying(
                    (a, b) -> a.name().equals(fault.target()) || b.name().equals(fault.target()),
                    (long) (fault.size() * MILLI))));
    all.add(
        disturbanceKind(
            "clients-thin",
            "a zone's clients get so many kilobytes a second each",
            FaultKind.TargetType.ZONE,
            12_000,
            new double[] {0.5, 20},
            (context, fault) ->
                throttling(
                    (a, b) -> isClientMachine(b) && b.zone().equals(fault.target()),
                    (long) (fault.size() * 1_000))));
    all.add(
        disturbanceKind(
            "host-thin",
            "connections to and from a stream host carry so many kilobytes a second",
            FaultKind.TargetType.HOST,
            12_000,
            new double[] {0.5, 20},
            (context, fault) ->
                throttling(
                    (a, b) -> a.name().equals(fault.target()) || b.name().equals(fault.target()),
                    (long) (fault.size() * 1_000))));
    all.add(
        disturbanceKind(
            "connects-lost",
            "connects to a stream host never come up",
            FaultKind.TargetType.HOST,
            10_000,
            noSize,
            (context, fault) -> connectDisturbance((a, b) -> b.name().equals(fault.target()), 0)));
    all.add(
        disturbanceKind(
            "connects-late",
            "connects to a stream host come up so many milliseconds late",
            FaultKind.TargetType.HOST,
            10_000,
            new double[] {20, 400},
            (context, fault) ->
                connectDisturbance(
                    (a, b) -> b.name().equals(fault.target()), (long) (fault.size() * MILLI))));
    return all;
  }

  // Faults of discovery.

  private static List<FaultKind> discovery() {
    List<FaultKind> all = new ArrayList<>();
    all.add(
        new FaultKind(
            "discovery-down",
            "discovery's process is gone: calls are refused and watches end",
            FaultKind.TargetType.ALL,
            500,
            12_000,
            0,
            0,
            2,
            (context, fault) -> context.world().discovery().takeDown(),
            (context, fault) -> context.world().discovery().bringUp()));
    for (Discovery.Behavior behavior : Discovery.Behavior.values()) {
      if (behavior != Discovery.Behavior.SOUND) {
        all.add(
            new FaultKind(
                "discovery-" + kebabCase(behavior),
                "discovery " + behavior.about(),
                FaultKind.TargetType.ALL,
                500,
                8_000,
                0,
                0,
                1,
                (context, fault) -> context.world().discovery().setBehavior(behavior),
                (context, fault) ->
                    context.world().discovery().setBehavior(Discovery.Behavior.SOUND)));
      }
    }
    all.add(
        new FaultKind(
            "discovery-still",
            "discovery learns nothing new; what it missed it learns afterwards",
            FaultKind.TargetType.ALL,
            2_000,
            15_000,
            0,
            0,
            1,
            (context, fault) -> context.world().discovery().setFrozen(true),
            (context, fault) -> context.world().discovery().setFrozen(false)));
    all.add(
        new FaultKind(
            "discovery-slow",
            "discovery takes so many times longer for each call",
            FaultKind.TargetType.ALL,
            3_000,
            15_000,
            2,
            20,
            1,
            (context, fault) -> context.world().discovery().setSlowdown(fault.size()),
            (context, fault) -> context.world().discovery().setSlowdown(1)));
    return all;
  }

  // Faults of proxies.

  private static List<FaultKind> proxies() {
    List<FaultKind> all = new ArrayList<>();
    all.add(
        new FaultKind(
            "proxy-crash",
            "a proxy is killed outright and starts again from nothing",
            FaultKind.TargetType.PROXY,
            300,
            5_000,
            0,
            0,
            2,
            (context, fault) -> context.proxy(fault).crash(fault.forMillis() * MILLI),
            NOTHING));
    all.add(
        new FaultKind(
            "proxy-dark",
            "a proxy's machine loses its power; once it is back, the proxy starts from nothing",
            FaultKind.TargetType.PROXY,
            1_000,
            8_000,
            0,
            0,
            1,
            (context, fault) -> context.proxy(fault).losePower(fault.forMillis() * MILLI),
            NOTHING));
    all.add(
        new FaultKind(
            "proxy-restart",
            "a planned restart: SIGTERM, SIGKILL when its time is over, a new start",
            FaultKind.TargetType.PROXY,
            6_000,
            6_000,
            0,
            0,
            2,
            (context, fault) -> context.proxy(fault).restart(),
            NOTHING));
    all.add(
        new FaultKind(
            "proxy-standby",
            "operators have a proxy's clients sent away, and call it back",
            FaultKind.TargetType.PROXY,
            5_000,
            9_000,
            0,
            0,
            2,
            (context, fault) -> context.proxy(fault).standby(fault.forMillis() * MILLI),
            NOTHING));
    all.add(
        new FaultKind(
            PROXY_UPGRADE,
            "a process is started beside the one that serves, and succeeds it",
            FaultKind.TargetType.PROXY,
            6_000,
            6_000,
            0,
            0,
            2,
            (context, fault) -> context.proxy(fault).upgrade(),
            NOTHING));
    all.add(
        new FaultKind(
            "rolling-restart",
            "planned restarts of all proxies, so many seconds apart",
            FaultKind.TargetType.ALL,
            14_000,
            14_000,
            1,
            4,
            1,
            (context, fault) -> {
              long at = 0;
              for (ProxyInstance proxy : context.proxies()) {
                context.world().agenda().after(at, proxy::restart);
                at += (long) (fault.size() * 1_000_000);
              }
            },
            NOTHING));
    all.add(
        new FaultKind(
            "proxies-hang-up",
            "SIGHUP to all proxies; discovery moves to its other address",
            FaultKind.TargetType.ALL,
            1_500,
            1_500,
            0,
            0,
            2,
            (context, fault) -> {
              context.world().discovery().moveAddress();
              context.proxies().forEach(proxy -> proxy.hangUp(0));
            },
            NOTHING));
    all.add(
        new FaultKind(
            "proxy-pause",
            "nothing of a proxy runs for a while, as when its runtime collects garbage",
            FaultKind.TargetType.PROXY,
            20,
            400,
            0,
            0,
            4,
            (context, fault) -> context.proxy(fault).pause(fault.forMillis() * MILLI),
            NOTHING));
    all.add(
        new FaultKind(
            "clock-step",
            "a proxy's wall clock is put forward by so many seconds, or back",
            FaultKind.TargetType.PROXY,
            0,
            0,
            -60,
            60,
            2,
            (context, fault) -> context.proxy(fault).stepClock((long) (fault.size() * 1_000)),
            NOTHING));
    return all;
  }

  // Faults caused by clients.

  private static List<FaultKind> clients() {
    List<FaultKind> all = new ArrayList<>();
    all.add(
        new FaultKind(
            "burst",
            "so many times the usual clients",
            FaultKind.TargetType.ALL,
            2_000,
            10_000,
            1.4,
            2.4,
            2,
            (context, fault) ->
                context
                    .clientGenerator()
                    .addClients(
                        (fault.size() - 1) * context.world().site().rate(), fault.forMillis()),
            NOTHING));
    for (BadClient.Kind kind : BadClient.Kind.values()) {
      boolean sendsMuch = kind == BadClient.Kind.HUGE || kind == BadClient.Kind.ENDLESS;
      boolean comesInNumbers = kind == BadClient.Kind.SILENT;
      all.add(
          new FaultKind(
              "bad-" + kebabCase(kind),
              "so many clients a second " + kind.about(),
              FaultKind.TargetType.ALL,
              500,
              comesInNumbers ? 3_000 : 6_000,
              comesInNumbers ? 20 : 1,
              sendsMuch ? 3 : comesInNumbers ? 200 : 12,
              1,
              (context, fault) ->
                  context.clientGenerator().addBadClients(kind, fault.size(), fault.forMillis()),
              NOTHING));
    }
    return all;
  }
}
