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
  private static final int MAX_READ_BYTES = 16 * 1024;

  /** One way, in microseconds, and the jitter as a share of it. */
  public record Latency(
      long minSameZoneMicros,
      long maxSameZoneMicros,
      long minCrossZoneMicros,
      long maxCrossZoneMicros,
      double jitterShare) {}

  /** Sizes of a kernel's buffers, in bytes, and what a connection carries in a second. */
  public record Buffers(int sendBytes, int receiveBytes, long bytesPerSecond) {}

  private final Agenda agenda;
  private final RandomStreams draws;
  private final Latency drawLatency;
  private final Buffers buffers;
  private final Map<InetAddress, Machine> machines = new LinkedHashMap<>();
  private final byte[] scratch = new byte[MAX_READ_BYTES];
  private Program runningProgram;
  private final List<Disturbance> disturbances = new ArrayList<>();
  private final Map<Disturbance, Long> ended = new LinkedHashMap<>();

  public Fabric(Agenda agenda, RandomStreams draws, Latency latency, Buffers buffers) {
    this.agenda = agenda;
    this.draws = draws;
    this.drawLatency = latency;
    this.buffers = buffers;
  }

  public Agenda agenda() {
    return agenda;
  }

  /** Room for one read, valid until the next one: a run has one thread and reads by the million. */
  byte[] scratch() {
    return scratch;
  }

  void runningProgram(Program program) {
    runningProgram = program;
  }

  /** The program whose task runs now, or ran last. */
  public Program runningProgram() {
    return runningProgram;
  }

  /** A new machine; its name and its address are its own. */
  public Machine addMachine(String name, String zone, InetAddress address) {
    Machine machine = new Machine(this, name, zone, address);
    if (machines.putIfAbsent(address, machine) != null) {
      throw new IllegalArgumentException("two machines have the address " + address);
    }
    return machine;
  }

  Machine machineAt(InetAddress address) {
    return machines.get(address);
  }

  Buffers buffers() {
    return buffers;
  }

  /** The stream of one connection, named by the machine that opens it and how many it had. */
  RandomStreams.Stream connectionStream(Machine from, long number) {
    return draws.of("connection " + from.name() + " " + number);
  }

  public void addDisturbance(Disturbance disturbance) {
    disturbances.add(disturbance);
  }

  public void removeDisturbance(Disturbance disturbance) {
    if (disturbances.remove(disturbance)) {
      ended.put(disturbance, agenda.now());
    }
  }

  /** When the last thing ended that was wrong between two machines, in either direction. */
  public long undisturbedSince(Machine a, Machine b) {
    if (isDisturbed(a, b)) {
      return agenda.now();
    }
    long last = 0;
    for (Map.Entry<Disturbance, Long> past : ended.entrySet()) {
      if (past.getKey().affects(a, b) || past.getKey().affects(b, a)) {
        last = Math.max(last, past.getValue());
      }
    }
    return last;
  }

  /** What a connect meets. */
  public enum ConnectResult {
    /** It comes up. */
    OPEN,
    /** It is refused. */
    REFUSED,
    /** Nothing answers. */
    SILENT
  }

  /** What a connect from one machine to a port of another would meet now. */
  public ConnectResult probeConnect(Machine from, Machine to, int port) {
    if (areConnectsBlocked(from, to) || areConnectsBlocked(to, from)) {
      return ConnectResult.SILENT;
    }
    ListeningSocket listener = to.listener(port);
    if (listener == null || refusesConnects(from, to)) {
      return ConnectResult.REFUSED;
    }
    return listener.isBacklogFull() ? ConnectResult.SILENT : ConnectResult.OPEN;
  }

  boolean isBlocked(Machine from, Machine to) {
    if (from.hasNoPower() || to.hasNoPower()) {
      return true;
    }
    for (Disturbance disturbance : disturbances) {
      if (disturbance.blocks(from, to)) {
        return true;
      }
    }
    return false;
  }

  boolean areConnectsBlocked(Machine from, Machine to) {
    for (Disturbance disturbance : disturbances) {
      if (disturbance.blocksConnects(from, to)) {
        return true;
      }
    }
    return isBlocked(from, to);
  }

  /** The stream of a machine's datagrams. */
  RandomStreams.Stream datagramStream(Machine from) {
    return draws.of("datagrams " + from.name());
  }

  /** Whether anything is wrong with the way from one machine to another now. */
  boolean isPathDisturbed(Machine from, Machine to) {
    for (Disturbance disturbance : disturbances) {
      if (disturbance.affects(from, to)) {
        return true;
      }
    }
    return false;
  }

  boolean drawLoss(Machine from, Machine to, RandomStreams.Stream stream) {
    return drawAny(stream, one -> one.datagramLossRate(from, to));
  }

  boolean drawDuplication(Machine from, Machine to, RandomStreams.Stream stream) {
    return drawAny(stream, one -> one.datagramDuplicationRate(from, to));
  }

  /** Whether one of the disturbances strikes, each by its share. */
  private boolean drawAny(RandomStreams.Stream stream, ToDoubleFunction<Disturbance> share) {
    for (Disturbance disturbance : disturbances) {
      double likely = share.applyAsDouble(disturbance);
      if (likely > 0 && stream.chance(likely)) {
        return true;
      }
    }
    return false;
  }

  boolean refusesConnects(Machine from, Machine to) {
    for (Disturbance disturbance : disturbances) {
      if (disturbance.refusesConnects(from, to)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether datagrams pass both ways between two machines, but for this share that is lost, and are
   * late by so much at most.
   */
  public boolean canExchangeDatagrams(Machine a, Machine b, double mostLost, long mostLate) {
    return !isBlocked(a, b)
        && !isBlocked(b, a)
        && Math.max(lossRate(a, b), lossRate(b, a)) <= mostLost
        && Math.max(maxDelayMicros(a, b), maxDelayMicros(b, a)) <= mostLate;
  }

  private long maxDelayMicros(Machine from, Machine to) {
    long late = 0;
    for (Disturbance disturbance : disturbances) {
      late += disturbance.maxDelayMicros(from, to);
    }
    return late;
  }

  private double lossRate(Machine from, Machine to) {
    double kept = 1;
    for (Disturbance disturbance : disturbances) {
      kept *= 1 - disturbance.datagramLossRate(from, to);
    }
    return 1 - kept;
  }

  /** Bytes that come in one piece at most. */
  int maxSegmentBytes(Machine from, Machine to, int usual) {
    int least = usual;
    for (Disturbance disturbance : disturbances) {
      least = Math.min(least, disturbance.maxSegmentBytes(from, to));
    }
    return least;
  }

  /** Resets at both ends every connection between two machines that are meant, in either order. */
  public void resetConnections(BiPredicate<Machine, Machine> meant) {
    for (Machine machine : machines.values()) {
      machine.resetConnections(peer -> meant.test(machine, peer) || meant.test(peer, machine));
    }
  }

  long connectDelayMicros(Machine from, Machine to) {
    long delay = 0;
    for (Disturbance disturbance : disturbances) {
      delay += disturbance.connectDelayMicros(from, to);
    }
    return delay;
  }

  /** Whether anything is wrong between two machines now, in either direction. */
  public boolean isDisturbed(Machine a, Machine b) {
    if (a.hasNoPower() || b.hasNoPower()) {
      return true;
    }
    for (Disturbance disturbance : disturbances) {
      if (disturbance.affects(a, b) || disturbance.affects(b, a)) {
        return true;
      }
    }
    return false;
  }

  /** How long a segment takes from one machine to another, in microseconds. */
  long drawLatency(Machine from, Machine to, RandomStreams.Stream stream) {
    Long base = from.latencyTo(to);
    if (base == null) {
      RandomStreams.Stream drawn = draws.of("way " + from.name() + " " + to.name());
      base =
          from.zone().equals(to.zone())
              ? drawn.micros(drawLatency.minSameZoneMicros(), drawLatency.maxSameZoneMicros())
              : drawn.micros(drawLatency.minCrossZoneMicros(), drawLatency.maxCrossZoneMicros());
      from.latencyTo(to, base);
    }
    long delay = 0;
    for (Disturbance disturbance : disturbances) {
      delay += disturbance.delayMicros(from, to);
    }
    return base + (long) (stream.between(0, drawLatency.jitterShare()) * base) + delay;
  }

  long bytesPerSecond(Machine from, Machine to) {
    long least = buffers.bytesPerSecond();
    for (Disturbance disturbance : disturbances) {
      least = Math.min(least, disturbance.maxBytesPerSecond(from, to));
    }
    return least;
  }
}
