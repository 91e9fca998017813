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
  private static final long ASK_AGAIN = 100 * Agenda.MILLI;

  /** How long a PING waits; the proxy may keep it until it knows a stream host. */
  private static final long PATIENCE = 5 * Agenda.SECOND;

  private static final long NOTICE_LEAST = 1_200 * Agenda.MILLI;
  private static final long NOTICE_MOST = 3_100 * Agenda.MILLI;

  /** New connections keep arriving for so long after SIGTERM. */
  private static final long STOP_LEAST = 200 * Agenda.MILLI;

  private static final long STOP_MOST = 400 * Agenda.MILLI;

  /** A proxy that clients are sent to; {@code life} tells its processes apart. */
  private static final class Entry {
    final String name;
    final Machine machine;
    final InetSocketAddress address;
    int life;
    boolean admitted;
    double favour = 1;

    Entry(String name, Machine machine, InetSocketAddress address) {
      this.name = name;
      this.machine = machine;
      this.address = address;
    }
  }

  private final World world;
  private final RandomStreams.Stream stream;
  private final Map<String, Program> programs = new LinkedHashMap<>();
  private final Map<String, Entry> entries = new LinkedHashMap<>();

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
    Entry entry = entries.computeIfAbsent(name, n -> new Entry(name, machine, address));
    entry.life++;
    ask(entry, entry.life);
  }

  /** A proxy's process has ended without a word. */
  public void processFailed(String name) {
    Entry entry = entries.get(name);
    int life = entry.life;
    world
        .agenda()
        .after(
            stream.micros(NOTICE_LEAST, NOTICE_MOST),
            () -> {
              if (entry.life == life) {
                entry.admitted = false;
              }
            });
  }

  /** A planned stop has begun. */
  public void shutdownStarted(String name) {
    Entry entry = entries.get(name);
    world.agenda().after(stream.micros(STOP_LEAST, STOP_MOST), () -> entry.admitted = false);
  }

  /** A proxy that was on standby is asked again until it answers. */
  public void returnedToService(String name) {
    Entry entry = entries.get(name);
    ask(entry, entry.life);
  }

  /** Where a client of this zone connects to, or null where no proxy is admitted. */
  InetSocketAddress pick(String zone, RandomStreams.Stream chance) {
    List<Entry> near = new ArrayList<>();
    List<Entry> all = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.admitted) {
        all.add(entry);
        if (entry.machine.zone().equals(zone)) {
          near.add(entry);
        }
      }
    }
    List<Entry> from = near.isEmpty() ? all : near;
    if (from.stream().allMatch(entry -> entry.favour == 1)) {
      return from.isEmpty() ? null : chance.pick(from).address;
    }
    double[] favours = from.stream().mapToDouble(entry -> entry.favour).toArray();
    return from.get(chance.pick(favours)).address;
  }

  /** Sends a proxy so many times as many clients as the others get, each. */
  public void setWeight(String name, double times) {
    entries.get(name).favour = times;
  }

  /** The name of the proxy at an address. */
  String name(InetSocketAddress address) {
    for (Entry entry : entries.values()) {
      if (entry.address.equals(address)) {
        return entry.name;
      }
    }
    throw new IllegalArgumentException("no proxy is at " + address);
  }

  private void ask(Entry entry, int life) {
    if (entry.life == life && !entry.admitted) {
      new Ping(entry, life).start();
    }
  }

  private final class Ping implements Program.ConnectHandler, Lines.Taker {
    private final Entry entry;
    private final int life;
    private final Program program;
    private Lines lines;
    private boolean over;

    Ping(Entry entry, int life) {
      this.entry = entry;
      this.life = life;
      this.program = programs.get(entry.machine.zone());
    }

    void start() {
      Program.PendingConnect connecting = program.connect(entry.address, this);
      program.schedule(
          PATIENCE,
          () -> {
            connecting.cancel();
            again();
          });
    }

    @Override
    public void connected(Endpoint endpoint) {
      lines = new Lines(endpoint, this);
      lines.send("PING");
    }

    @Override
    public void failed(IOException cause) {
      again();
    }

    @Override
    public void line(String line) {
      if (!over && line.equals("PONG") && entry.life == life) {
        over = true;
        entry.admitted = true;
        lines.close();
        world.publish(new Event.ProxyAdmitted(entry.name));
      }
    }

    @Override
    public void ended(boolean reset) {
      again();
    }

    private void again() {
      if (!over) {
        over = true;
        if (lines != null) {
          lines.close();
        }
        program.schedule(ASK_AGAIN, () -> ask(entry, life));
      }
    }
  }
}
