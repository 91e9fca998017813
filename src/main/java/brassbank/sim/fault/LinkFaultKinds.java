package brassbank.sim.fault;

import brassbank.sim.actor.ProxyInstance;
import brassbank.sim.net.Disturbance;
import brassbank.sim.net.Machine;
import brassbank.sim.time.RandomStreams;
import java.util.List;
import java.util.function.BiFunction;

/**
 * Faults of single links and of several processes at once. Only scripts use them: if seeds drew
 * them, every existing seed would produce a different run.
 */
final class LinkFaultKinds {
  private static final long MILLI = 1_000;
  private static final FaultKind.Action NOTHING = (context, fault) -> {};

  /** Length of one cycle of a starved process: a pause followed by a period of running. */
  private static final long STARVE_PERIOD_MICROS = 100 * MILLI;

  private LinkFaultKinds() {}

  static List<FaultKind> all() {
    return List.of(
        linkKind(
            "link-cut",
            "nothing passes over these links, and nothing tells of it",
            0,
            (links, fault) ->
                new Disturbance() {
                  @Override
                  public boolean blocks(Machine from, Machine to) {
                    return links.matches(from, to);
                  }
                }),
        linkKind(
            "link-refused",
            "connects over these links are refused; what stands is left alone",
            0,
            (links, fault) ->
                new Disturbance() {
                  @Override
                  public boolean refusesConnects(Machine from, Machine to) {
                    return links.matches(from, to);
                  }
                }),
        linkKind(
            "link-late",
            "half to one and a half times so many milliseconds more over these links",
            100,
            (links, fault) -> delaying(links, fault)),
        linkKind(
            "link-loses",
            "this share of the datagrams over these links is lost",
            0.3,
            (links, fault) ->
                new Disturbance() {
                  @Override
                  public double datagramLossRate(Machine from, Machine to) {
                    return links.matches(from, to) ? fault.size() : 0;
                  }
                }),
        linkKind(
            "link-doubles",
            "this share of the datagrams over these links comes twice",
            0.3,
            (links, fault) ->
                new Disturbance() {
                  @Override
                  public double datagramDuplicationRate(Machine from, Machine to) {
                    return links.matches(from, to) ? fault.size() : 0;
                  }
                }),
        linkKind(
            "link-thin",
            "each connection over these links gets so many kilobytes a second",
            10,
            (links, fault) ->
                new Disturbance() {
                  @Override
                  public long maxBytesPerSecond(Machine from, Machine to) {
                    return links.matches(from, to) ? (long) (fault.size() * 1_000) : Long.MAX_VALUE;
                  }
                }),
        linkKind(
            "link-chopped",
            "what passes over these links comes in pieces of so many bytes at most",
            3,
            (links, fault) ->
                new Disturbance() {
                  @Override
                  public int maxSegmentBytes(Machine from, Machine to) {
                    return links.matches(from, to)
                        ? Math.max(1, (int) fault.size())
                        : Integer.MAX_VALUE;
                  }
                }),
        new FaultKind(
            "link-reset",
            "all that stands over these links is reset at once, at both ends",
            FaultKind.TargetType.LINK,
            0,
            0,
            0,
            0,
            0,
            (context, fault) -> {
              LinkSelector links = LinkSelector.parse(fault.target());
              context.world().fabric().resetConnections(links::matches);
            },
            NOTHING),
        new FaultKind(
            "proxy-starved",
            "a proxy does not run for this share of each 100 ms",
            FaultKind.TargetType.PROXY,
            500,
            10_000,
            0.5,
            0.95,
            0,
            (context, fault) -> starve(context, fault, 0),
            NOTHING),
        new FaultKind(
            "front-favours",
            "a proxy is sent so many times as many clients as each other",
            FaultKind.TargetType.PROXY,
            1_000,
            10_000,
            2,
            8,
            0,
            (context, fault) ->
                context.world().loadBalancer().setWeight(fault.target(), fault.size()),
            (context, fault) -> context.world().loadBalancer().setWeight(fault.target(), 1)),
        new FaultKind(
            "proxies-hang-up-damaged",
            "SIGHUP to all proxies with a file that breaks off in the middle",
            FaultKind.TargetType.ALL,
            300,
            300,
            0,
            0,
            0,
            (context, fault) -> context.proxies().forEach(ProxyInstance::hangUpDamaged),
            NOTHING),
        new FaultKind(
            "proxies-crash",
            "all proxies are killed at once and start again from nothing",
            FaultKind.TargetType.ALL,
            300,
            5_000,
            0,
            0,
            0,
            (context, fault) -> {
              for (ProxyInstance proxy : context.proxies()) {
                proxy.crash(fault.forMillis() * MILLI);
              }
            },
            NOTHING));
  }

  private static FaultKind linkKind(
      String name,
      String about,
      double size,
      BiFunction<LinkSelector, Fault, Disturbance> disturbance) {
    return new FaultKind(
        name,
        about,
        FaultKind.TargetType.LINK,
        500,
        10_000,
        size,
        size,
        0,
        (context, fault) ->
            context.beginDisturbance(
                fault, disturbance.apply(LinkSelector.parse(fault.target()), fault)),
        FaultContext::endDisturbance);
  }

  private static Disturbance delaying(LinkSelector links, Fault fault) {
    RandomStreams.Stream jitter = new RandomStreams(fault.atMillis()).of("jitter " + fault);
    return new Disturbance() {
      @Override
      public long delayMicros(Machine from, Machine to) {
        return links.matches(from, to)
            ? (long) (fault.size() * MILLI * jitter.between(0.5, 1.5))
            : 0;
      }

      @Override
      public long maxDelayMicros(Machine from, Machine to) {
        return links.matches(from, to) ? (long) (fault.size() * MILLI * 1.5) : 0;
      }
    };
  }

  private static void starve(FaultContext context, Fault fault, long elapsedMicros) {
    if (elapsedMicros < fault.forMillis() * MILLI) {
      context.proxy(fault).pause((long) (fault.size() * STARVE_PERIOD_MICROS));
      context
          .world()
          .agenda()
          .after(
              STARVE_PERIOD_MICROS,
              () -> starve(context, fault, elapsedMicros + STARVE_PERIOD_MICROS));
    }
  }
}
