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
 * The plain layer before the proxies: spreads clients over the proxies of their zone that have
 * answered {@code PONG}, and learns only some seconds later that one has died.
 */
public final class UpstreamLoadBalancer {
  private static final long PROBE_INTERVAL = 100 * Agenda.MILLI;

  /** How long a PING waits; the proxy may keep it until it knows a stream host. */
  private static final long PROBE_TIMEOUT = 5 * Agenda.SECOND;

  private static final long MIN_DETECTION_DELAY = 1_200 * Agenda.MILLI;
  private static final long MAX_DETECTION_DELAY = 3_100 * Agenda.MILLI;

  /** New connections keep arriving for so long after SIGTERM. */
  private static final long MIN_REMOVAL_DELAY = 200 * Agenda.MILLI;

  private static final long MAX_REMOVAL_DELAY = 400 * Agenda.MILLI;

  /** A proxy that clients are sent to; {@code life} tells its processes apart. */
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

  /** A proxy's process has begun: it is asked until it answers. */
  public void processStarted(String name, Machine machine, InetSocketAddress address) {
    Upstream entry = upstreams.computeIfAbsent(name, n -> new Upstream(name, machine, address));
    entry.incarnation++;
    probe(entry, entry.incarnation);
  }

  /** A proxy's process has ended without a word. */
  public void processFailed(String name) {
    Upstream entry = upstreams.get(name);
    int life = entry.incarnation;
    world
        .agenda()
        .after(
            stream.micros(MIN_DETECTION_DELAY, MAX_DETECTION_DELAY),
            () -> {
              if (entry.incarnation == life) {
                entry.admitted = false;
              }
            });
  }

  /** A planned stop has begun. */
  public void shutdownStarted(String name) {
    Upstream entry = upstreams.get(name);
    world
        .agenda()
        .after(stream.micros(MIN_REMOVAL_DELAY, MAX_REMOVAL_DELAY), () -> entry.admitted = false);
  }

  /** A proxy that was on standby is asked again until it answers. */
  public void returnedToService(String name) {
    Upstream entry = upstreams.get(name);
    probe(entry, entry.incarnation);
  }

  /** Where a client of this zone connects to, or null where no proxy is admitted. */
  InetSocketAddress pick(String zone, RandomStreams.Stream chance) {
    List<Upstream> near = new ArrayList<>();
    List<Upstream> all = new ArrayList<>();
    for (Upstream entry : upstreams.values()) {
      if (entry.admitted) {
        all.add(entry);
        if (entry.machine.zone().equals(zone)) {
          near.add(entry);
        }
      }
    }
    List<Upstream> from = near.isEmpty() ? all : near;
    if (from.stream().allMatch(entry -> entry.weight == 1)) {
      return from.isEmpty() ? null : chance.pick(from).address;
    }
    double[] favours = from.stream().mapToDouble(entry -> entry.weight).toArray();
    return from.get(chance.pick(favours)).address;
  }

  /** Sends a proxy so many times as many clients as the others get, each. */
  public void setWeight(String name, double times) {
    upstreams.get(name).weight = times;
  }

  /** The name of the proxy at an address. */
  String name(InetSocketAddress address) {
    for (Upstream entry : upstreams.values()) {
      if (entry.address.equals(address)) {
        return entry.name;
      }
    }
    throw new IllegalArgumentException("no proxy is at " + address);
  }

  private void probe(Upstream entry, int life) {
    if (entry.incarnation == life && !entry.admitted) {
      new Probe(entry, life).start();
    }
  }

  private final class Probe implements Program.ConnectHandler, LineConnection.Listener {
    private final Upstream upstream;
    private final int incarnation;
    private final Program program;
    private LineConnection lines;
    private boolean finished;

    Probe(Upstream entry, int life) {
      this.upstream = entry;
      this.incarnation = life;
      this.program = programs.get(entry.machine.zone());
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
