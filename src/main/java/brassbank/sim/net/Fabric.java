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
 * All machines and the paths between them. The base latency of a path is drawn once for each
 * ordered pair of machines; each segment adds jitter. Current impairments are kept as a list of
 * disturbances.
 */
public final class Fabric {
  private static final int MAX_READ_BYTES = 16 * 1024;

  /**
   * Ranges of one-way base latencies in microseconds, and the maximum jitter as a share of them.
   */
  public record Latency(
      long minSameZoneMicros,
      long maxSameZoneMicros,
      long minCrossZoneMicros,
      long maxCrossZoneMicros,
      double jitterShare) {}

  /** Sizes of kernel buffers in bytes, and the throughput of a connection in bytes per second. */
  public record Buffers(int sendBytes, int receiveBytes, long bytesPerSecond) {}

  private final Agenda agenda;
  private final RandomStreams draws;
  private final Latency drawLatency;
  private final Buffers buffers;
  private final Map<InetAddress, Machine> machines = new LinkedHashMap<>();
  private final byte[] scratch = new byte[MAX_READ_BYTES];
  private Program runningProgram;
  private final List<Disturbance> disturbances = new ArrayList<>();
  private final Map<Disturbance, Long> endTimes = new LinkedHashMap<>();

  public Fabric(Agenda agenda, RandomStreams draws, Latency latency, Buffers buffers) {
    this.agenda = agenda;
    this.draws = draws;
    this.drawLatency = latency;
    this.buffers = buffers;
  }

  public Agenda agenda() {
    return agenda;
  }

  /**
   * Returns a buffer for one read, valid until the next read. It is shared because a run has one
   * thread and performs millions of reads.
   */
  byte[] scratch() {
    return scratch;
  }

  void runningProgram(Program program) {
    runningProgram = program;
  }

  /** Returns the program whose task is running or has run last. */
  public Program runningProgram() {
    return runningProgram;
  }

  /**
   * Adds a machine.
   *
   * @throws IllegalArgumentException if another machine has the address
   */
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

  /**
   * Returns the random stream of a connection, named by the opening machine and its number there.
   */
  RandomStreams.Stream connectionStream(Machine from, long number) {
    return draws.of("connection " + from.name() + " " + number);
  }

  public void addDisturbance(Disturbance disturbance) {
    disturbances.add(disturbance);
  }

  public void removeDisturbance(Disturbance disturbance) {
    if (disturbances.remove(disturbance)) {
      endTimes.put(disturbance, agenda.now());
    }
  }

  /**
   * Returns when the last disturbance between two machines endTimes, in either direction, or the
   * current time if one is active.
   */
  public long undisturbedSince(Machine a, Machine b) {
    if (isDisturbed(a, b)) {
      return agenda.now();
    }
    long last = 0;
    for (Map.Entry<Disturbance, Long> past : endTimes.entrySet()) {
      if (past.getKey().affects(a, b) || past.getKey().affects(b, a)) {
        last = Math.max(last, past.getValue());
      }
    }
    return last;
  }

  /** Outcome of a connect. */
  public enum ConnectResult {
    /** The connection is established. */
    OPEN,
    /** The connect is refused. */
    REFUSED,
    /** No response arrives. */
    SILENT
  }

  /** Returns the outcome that a connect to a port of another machine would have now. */
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

  /** Returns the random stream for the datagrams of a machine. */
  RandomStreams.Stream datagramStream(Machine from) {
    return draws.of("datagrams " + from.name());
  }

  /** Returns whether a disturbance affects the path from one machine to another. */
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

  /** Draws whether any of the disturbances takes effect, each with its own probability. */
  private boolean drawAny(RandomStreams.Stream stream, ToDoubleFunction<Disturbance> share) {
    for (Disturbance disturbance : disturbances) {
      double probability = share.applyAsDouble(disturbance);
      if (probability > 0 && stream.chance(probability)) {
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
   * Returns whether datagrams pass in both directions between two machines with a loss rate of at
   * most {@code maxLossRate} and an added delay of at most {@code maxDelayMicros} microseconds.
   */
  public boolean canExchangeDatagrams(
      Machine a, Machine b, double maxLossRate, long maxDelayMicros) {
    return !isBlocked(a, b)
        && !isBlocked(b, a)
        && Math.max(lossRate(a, b), lossRate(b, a)) <= maxLossRate
        && Math.max(maxDelayMicros(a, b), maxDelayMicros(b, a)) <= maxDelayMicros;
  }

  private long maxDelayMicros(Machine from, Machine to) {
    long delay = 0;
    for (Disturbance disturbance : disturbances) {
      delay += disturbance.maxDelayMicros(from, to);
    }
    return delay;
  }

  private double lossRate(Machine from, Machine to) {
    double deliveryRate = 1;
    for (Disturbance disturbance : disturbances) {
      deliveryRate *= 1 - disturbance.datagramLossRate(from, to);
    }
    return 1 - deliveryRate;
  }

  /** Returns the maximum size of a segment on a path in bytes. */
  int maxSegmentBytes(Machine from, Machine to, int limit) {
    int min = limit;
    for (Disturbance disturbance : disturbances) {
      min = Math.min(min, disturbance.maxSegmentBytes(from, to));
    }
    return min;
  }

  /** Resets, at both ends, all connections between machines that match in either order. */
  public void resetConnections(BiPredicate<Machine, Machine> selected) {
    for (Machine machine : machines.values()) {
      machine.resetConnections(
          peer -> selected.test(machine, peer) || selected.test(peer, machine));
    }
  }

  long connectDelayMicros(Machine from, Machine to) {
    long delay = 0;
    for (Disturbance disturbance : disturbances) {
      delay += disturbance.connectDelayMicros(from, to);
    }
    return delay;
  }

  /**
   * Returns whether a machine has no power or a disturbance affects the path in either direction.
   */
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

  /** Draws the latency of a segment from one machine to another in microseconds. */
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
    long min = buffers.bytesPerSecond();
    for (Disturbance disturbance : disturbances) {
      min = Math.min(min, disturbance.maxBytesPerSecond(from, to));
    }
    return min;
  }
}
