package brassbank.sim.actor;

import brassbank.sim.event.Event;
import brassbank.sim.net.Endpoint;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The load balancer in front of the proxies: distributes clients over the proxies of their zone
 * that have answered {@code PONG}, and detects the failure of a proxy only some seconds later.
 */
public final class UpstreamLoadBalancer {
  private static final long PROBE_INTERVAL = 100 * Agenda.MILLI;

  /**
   * How long a {@code PING} waits for its answer; a proxy may delay it until it knows a stream
   * host.
   */
  private static final long PROBE_TIMEOUT = 5 * Agenda.SECOND;

  private static final long MIN_DETECTION_DELAY = 1_200 * Agenda.MILLI;
  private static final long MAX_DETECTION_DELAY = 3_100 * Agenda.MILLI;

  /** New connections still arrive at a proxy for this time after SIGTERM. */
  private static final long MIN_REMOVAL_DELAY = 200 * Agenda.MILLI;

  private static final long MAX_REMOVAL_DELAY = 400 * Agenda.MILLI;

  /** A proxy that clients are sent to; {@code incarnation} identifies its process. */
  private static final class Upstream {
    final String name;
    final Machine machine;
    final InetSocketAddress address;
    int incarnation;
    boolean admitted;
    double weight = 1;

    Upstream(String name, Machine machine, InetSocketAddress address) {
      this.name = name;
      this.machine = machine;
      this.address = address;
    }
  }

  private final World world;
  private final RandomStreams.Stream stream;
  private final Map<String, Program> programs = new LinkedHashMap<>();
  private final Map<String, Upstream> upstreams = new LinkedHashMap<>();

  public UpstreamLoadBalancer(World world) {
    this.world = world;
    this.stream = world.draws().of("front");
    int number = 1;
    for (String zone : world.site().zones()) {
      Machine machine = world.machine("front-" + zone, zone, 3, number++);
      programs.put(zone, new Program(machine, "front-" + zone, 0, Integer.MAX_VALUE));
    }
  }

  /** Handles the start of a proxy's process: probes it until it answers. */
  public void processStarted(String name, Machine machine, InetSocketAddress address) {
    Upstream upstream = upstreams.computeIfAbsent(name, n -> new Upstream(name, machine, address));
    upstream.incarnation++;
    probe(upstream, upstream.incarnation);
  }

  /** Handles the failure of a proxy's process, which takes effect after the detection delay. */
  public void processFailed(String name) {
    Upstream upstream = upstreams.get(name);
    int incarnation = upstream.incarnation;
    world
        .agenda()
        .after(
            stream.micros(MIN_DETECTION_DELAY, MAX_DETECTION_DELAY),
            () -> {
              if (upstream.incarnation == incarnation) {
                upstream.admitted = false;
              }
            });
  }

  /** Handles the start of a planned shutdown, which takes effect after the removal delay. */
  public void shutdownStarted(String name) {
    Upstream upstream = upstreams.get(name);
    world
        .agenda()
        .after(
            stream.micros(MIN_REMOVAL_DELAY, MAX_REMOVAL_DELAY), () -> upstream.admitted = false);
  }

  /** Handles the end of a proxy's standby: probes it until it answers. */
  public void returnedToService(String name) {
    Upstream upstream = upstreams.get(name);
    probe(upstream, upstream.incarnation);
  }

  /**
   * Returns the address of a proxy for a client of this zone, of another zone where this one has
   * none, or null where no proxy is admitted.
   */
  InetSocketAddress pick(String zone, RandomStreams.Stream random) {
    List<Upstream> sameZone = new ArrayList<>();
    List<Upstream> all = new ArrayList<>();
    for (Upstream upstream : upstreams.values()) {
      if (upstream.admitted) {
        all.add(upstream);
        if (upstream.machine.zone().equals(zone)) {
          sameZone.add(upstream);
        }
      }
    }
    List<Upstream> candidates = sameZone.isEmpty() ? all : sameZone;
    if (candidates.stream().allMatch(upstream -> upstream.weight == 1)) {
      return candidates.isEmpty() ? null : random.pick(candidates).address;
    }
    double[] weights = candidates.stream().mapToDouble(upstream -> upstream.weight).toArray();
    return candidates.get(random.pick(weights)).address;
  }

  /** Sets a proxy's weight: how many times as many clients it gets as a proxy of weight 1. */
  public void setWeight(String name, double weight) {
    upstreams.get(name).weight = weight;
  }

  /**
   * Returns the name of the proxy at an address.
   *
   * @throws IllegalArgumentException if no proxy has this address
   */
  String name(InetSocketAddress address) {
    for (Upstream upstream : upstreams.values()) {
      if (upstream.address.equals(address)) {
        return upstream.name;
      }
    }
    throw new IllegalArgumentException("no proxy listens on " + address);
  }

  private void probe(Upstream upstream, int incarnation) {
    if (upstream.incarnation == incarnation && !upstream.admitted) {
      new Probe(upstream, incarnation).start();
    }
  }

  private final class Probe implements Program.ConnectHandler, LineConnection.Listener {
    private final Upstream upstream;
    private final int incarnation;
    private final Program program;
    private LineConnection lines;
    private boolean finished;

    Probe(Upstream upstream, int incarnation) {
      this.upstream = upstream;
      this.incarnation = incarnation;
      this.program = programs.get(upstream.machine.zone());
    }

    void start() {
      Program.PendingConnect connecting = program.connect(upstream.address, this);
      program.schedule(
          PROBE_TIMEOUT,
          () -> {
            connecting.cancel();
            retry();
          });
    }

    @Override
    public void connected(Endpoint endpoint) {
      lines = new LineConnection(endpoint, this);
      lines.send("PING");
    }

    @Override
    public void failed(IOException cause) {
      retry();
    }

    @Override
    public void onLine(String line) {
      if (!finished && line.equals("PONG") && upstream.incarnation == incarnation) {
        finished = true;
        upstream.admitted = true;
        lines.close();
        world.publish(new Event.ProxyAdmitted(upstream.name));
      }
    }

    @Override
    public void onEnd(boolean reset) {
      retry();
    }

    private void retry() {
      if (!finished) {
        finished = true;
        if (lines != null) {
          lines.close();
        }
        program.schedule(PROBE_INTERVAL, () -> probe(upstream, incarnation));
      }
    }
  }
}
