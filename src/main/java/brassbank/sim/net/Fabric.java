package brassbank.sim.net;

import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.ToDoubleFunction;

/**
 * All machines and the ways between them. A way's latency is drawn once for each pair of machines;
 * each segment adds its jitter. What is wrong at the moment stands in a list of disturbances.
 */
public final class Fabric {
  private static final int MOST_READ = 16 * 1024;

  /** One way, in microseconds, and the jitter as a share of it. */
  public record Latency(
      long sameLeast, long sameMost, long crossLeast, long crossMost, double jitter) {}

  /** Sizes of a kernel's buffers, in bytes, and what a connection carries in a second. */
  public record Buffers(int send, int receive, long bandwidth) {}

  private final Agenda agenda;
  private final RandomStreams draws;
  private final Latency latency;
  private final Buffers buffers;
  private final Map<InetAddress, Machine> machines = new LinkedHashMap<>();
  private final byte[] scratch = new byte[MOST_READ];
  private Program running;
  private final List<Disturbance> disturbances = new ArrayList<>();
  private final Map<Disturbance, Long> ended = new LinkedHashMap<>();

  public Fabric(Agenda agenda, RandomStreams draws, Latency latency, Buffers buffers) {
    this.agenda = agenda;
    this.draws = draws;
    this.latency = latency;
    this.buffers = buffers;
  }

  public Agenda agenda() {
    return agenda;
  }

  /** Room for one read, valid until the next one: a run has one thread and reads by the million. */
  byte[] scratch() {
    return scratch;
  }

  void running(Program program) {
    running = program;
  }

  /** The program whose task runs now, or ran last. */
  public Program running() {
    return running;
  }

  /** A new machine; its name and its address are its own. */
  public Machine machine(String name, String zone, InetAddress address) {
    Machine machine = new Machine(this, name, zone, address);
    if (machines.putIfAbsent(address, machine) != null) {
      throw new IllegalArgumentException("two machines have the address " + address);
    }
    return machine;
  }

  Machine at(InetAddress address) {
    return machines.get(address);
  }

  Buffers buffers() {
    return buffers;
  }

  /** The stream of one connection, named by the machine that opens it and how many it had. */
  RandomStreams.Stream stream(Machine from, long number) {
    return draws.of("connection " + from.name() + " " + number);
  }

  public void begin(Disturbance disturbance) {
    disturbances.add(disturbance);
  }

  public void end(Disturbance disturbance) {
    if (disturbances.remove(disturbance)) {
      ended.put(disturbance, agenda.now());
    }
  }

  /** When the last thing ended that was wrong between two machines, in either direction. */
  public long calmSince(Machine a, Machine b) {
    if (disturbed(a, b)) {
      return agenda.now();
    }
    long last = 0;
    for (Map.Entry<Disturbance, Long> past : ended.entrySet()) {
      if (past.getKey().touches(a, b) || past.getKey().touches(b, a)) {
        last = Math.max(last, past.getValue());
      }
    }
    return last;
  }

  /** What a connect meets. */
  public enum Reach {
    /** It comes up. */
    OPEN,
    /** It is refused. */
    REFUSED,
    /** Nothing answers. */
    SILENT
  }

  /** What a connect from one machine to a port of another would meet now. */
  public Reach reach(Machine from, Machine to, int port) {
    if (connectsBlocked(from, to) || connectsBlocked(to, from)) {
      return Reach.SILENT;
    }
    Port listener = to.listener(port);
    if (listener == null || refuses(from, to)) {
      return Reach.REFUSED;
    }
    return listener.full() ? Reach.SILENT : Reach.OPEN;
  }

  boolean blocked(Machine from, Machine to) {
    if (from.dark() || to.dark()) {
      return true;
    }
    for (Disturbance disturbance : disturbances) {
      if (disturbance.blocks(from, to)) {
        return true;
      }
    }
    return false;
  }

  boolean connectsBlocked(Machine from, Machine to) {
    for (Disturbance disturbance : disturbances) {
      if (disturbance.blocksConnects(from, to)) {
        return true;
      }
    }
    return blocked(from, to);
  }

  /** The stream of a machine's datagrams. */
  RandomStreams.Stream datagrams(Machine from) {
    return draws.of("datagrams " + from.name());
  }

  /** Whether anything is wrong with the way from one machine to another now. */
  boolean touched(Machine from, Machine to) {
    for (Disturbance disturbance : disturbances) {
      if (disturbance.touches(from, to)) {
        return true;
      }
    }
    return false;
  }

  boolean loses(Machine from, Machine to, RandomStreams.Stream stream) {
    return drawn(stream, one -> one.losesDatagrams(from, to));
  }

  boolean doubles(Machine from, Machine to, RandomStreams.Stream stream) {
    return drawn(stream, one -> one.doublesDatagrams(from, to));
  }

  /** Whether one of the disturbances strikes, each by its share. */
  private boolean drawn(RandomStreams.Stream stream, ToDoubleFunction<Disturbance> share) {
    for (Disturbance disturbance : disturbances) {
      double likely = share.applyAsDouble(disturbance);
      if (likely > 0 && stream.chance(likely)) {
        return true;
      }
    }
    return false;
  }

  boolean refuses(Machine from, Machine to) {
    for (Disturbance disturbance : disturbances) {
      if (disturbance.refuses(from, to)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether datagrams pass both ways between two machines, but for this share that is lost, and are
   * late by so much at most.
   */
  public boolean hear(Machine a, Machine b, double mostLost, long mostLate) {
    return !blocked(a, b)
        && !blocked(b, a)
        && Math.max(lost(a, b), lost(b, a)) <= mostLost
        && Math.max(late(a, b), late(b, a)) <= mostLate;
  }

  private long late(Machine from, Machine to) {
    long late = 0;
    for (Disturbance disturbance : disturbances) {
      late += disturbance.mostDelay(from, to);
    }
    return late;
  }

  private double lost(Machine from, Machine to) {
    double kept = 1;
    for (Disturbance disturbance : disturbances) {
      kept *= 1 - disturbance.losesDatagrams(from, to);
    }
    return 1 - kept;
  }

  /** Bytes that come in one piece at most. */
  int segment(Machine from, Machine to, int usual) {
    int least = usual;
    for (Disturbance disturbance : disturbances) {
      least = Math.min(least, disturbance.segment(from, to));
    }
    return least;
  }

  /** Resets at both ends every connection between two machines that are meant, in either order. */
  public void reset(BiPredicate<Machine, Machine> meant) {
    for (Machine machine : machines.values()) {
      machine.resetAll(peer -> meant.test(machine, peer) || meant.test(peer, machine));
    }
  }

  long connectDelay(Machine from, Machine to) {
    long delay = 0;
    for (Disturbance disturbance : disturbances) {
      delay += disturbance.connectDelay(from, to);
    }
    return delay;
  }

  /** Whether anything is wrong between two machines now, in either direction. */
  public boolean disturbed(Machine a, Machine b) {
    if (a.dark() || b.dark()) {
      return true;
    }
    for (Disturbance disturbance : disturbances) {
      if (disturbance.touches(a, b) || disturbance.touches(b, a)) {
        return true;
      }
    }
    return false;
  }

  /** How long a segment takes from one machine to another, in microseconds. */
  long latency(Machine from, Machine to, RandomStreams.Stream stream) {
    Long base = from.wayTo(to);
    if (base == null) {
      RandomStreams.Stream drawn = draws.of("way " + from.name() + " " + to.name());
      base =
          from.zone().equals(to.zone())
              ? drawn.micros(latency.sameLeast(), latency.sameMost())
              : drawn.micros(latency.crossLeast(), latency.crossMost());
      from.wayTo(to, base);
    }
    long delay = 0;
    for (Disturbance disturbance : disturbances) {
      delay += disturbance.delay(from, to);
    }
    return base + (long) (stream.between(0, latency.jitter()) * base) + delay;
  }

  long bandwidth(Machine from, Machine to) {
    long least = buffers.bandwidth();
    for (Disturbance disturbance : disturbances) {
      least = Math.min(least, disturbance.bandwidth(from, to));
    }
    return least;
  }
}
