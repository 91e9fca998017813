package brassbank.sim.members;

import brassbank.fleet.Fleet;
import brassbank.membership.Activity;
import brassbank.membership.Incarnation;
import brassbank.membership.Member;
import brassbank.membership.MembershipConfig;
import brassbank.membership.Settings;
import brassbank.membership.State;
import brassbank.membership.ViewChange;
import brassbank.net.Net;
import brassbank.net.Network;
import brassbank.sim.net.Disturbance;
import brassbank.sim.net.Fabric;
import brassbank.sim.net.Machine;
import brassbank.sim.net.Program;
import brassbank.sim.proxy.SimClock;
import brassbank.sim.proxy.SimNetwork;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/**
 * Members on a simulated network, with the ground truth about their state and the view that each
 * member has of the others.
 */
final class SimulatedCluster {
  static final int PORT = 7_075;
  private static final long SECOND = Agenda.SECOND;
  private static final long EPOCH_MILLIS = 1_767_225_600_000L;
  private static final int MAX_INTERMEDIARIES = 50;
  private static final int RUNTIME_DESCRIPTORS = 20;
  private static final int DESCRIPTOR_LIMIT = 64;

  /** Latencies within a zone and between zones, as in {@code brassbank simulate}. */
  private static final Fabric.Latency LATENCY = new Fabric.Latency(110, 320, 700, 1_300, 0.2);

  private static final Fabric.Buffers BUFFERS = new Fabric.Buffers(1 << 16, 1 << 16, 100_000_000);
  private static final List<String> ZONES = List.of("leith", "dalkeith");

  /** Called when a member declares a running and reachable member dead. */
  interface FalseDeathHandler {
    void falseDeath(long now, String observer, String member);
  }

  /** One member across the incarnations of its process. */
  final class SimulatedMember {
    final int number;
    final String name;
    final Machine machine;
    private final boolean[] believesLive;
    private Program program;
    private Fleet fleet;
    private long clockOffsetMillis;
    private long processNumber;

    /** The highest incarnation number that this member has used; null before its first start. */
    private Incarnation highestIncarnation;

    private boolean hasLeft;

    /** Since when the process has run without a pause, in microseconds. */
    long runningSinceMicros;

    SimulatedMember(int number, int maxMembers) {
      this(number, maxMembers, "n" + number);
    }

    /** Creates a member with a name of its own or of another member. */
    private SimulatedMember(int number, int maxMembers, String name) {
      this.number = number;
      this.name = name;
      machine = fabric.addMachine("n" + number, ZONES.get(number % ZONES.size()), address(number));
      believesLive = new boolean[maxMembers];
    }

    boolean isRunning() {
      return program != null && program.isAlive();
    }

    void start() {
      program = new Program(machine, name, RUNTIME_DESCRIPTORS, DESCRIPTOR_LIMIT);
      SimClock clock = new SimClock(agenda, stream.bits() >>> 8, EPOCH_MILLIS + clockOffsetMillis);
      Network network = networkDecorator.apply(new SimNetwork(program, clock, held -> {}));
      Net net = new Net(DESCRIPTOR_LIMIT, network);
      hasLeft = false;
      Arrays.fill(believesLive, false);
      believesLive[number] = true;
      runningSinceMicros = agenda.now();
      InetSocketAddress here = new InetSocketAddress(machine.address(), PORT);
      fleet =
          new Fleet(
              net,
              new MembershipConfig("flock", here, here, seeds, settings),
              name,
              machine.zone(),
              new SplittableRandom(stream.bits()),
              () -> Activity.ACTIVE,
              null);
      Fleet currentFleet = fleet;
      long thisProcess = ++processNumber;
      fleet.addListener(
          change -> {
            if (processNumber == thisProcess) {
              onViewChange(change);
            }
          });
      try {
        net.start();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      net.execute(currentFleet::open);
    }

    /** Shifts the wall clock by {@code millis} as of the next start. */
    void stepClock(long millis) {
      clockOffsetMillis += millis;
    }

    void kill() {
      recordIncarnation();
      processNumber++;
      program.kill();
    }

    void leave() {
      processNumber++;
      Fleet currentFleet = fleet;
      Program currentProgram = program;
      program.schedule(
          0,
          () -> {
            Incarnation last = currentFleet.membership().incarnation();
            highestIncarnation = new Incarnation(last.startTime(), last.revision() + 1);
            hasLeft = true;
            currentFleet.close(true);
            currentProgram.exit();
          });
    }

    void pause(long micros) {
      program.pause(agenda.now() + micros);
      runningSinceMicros = agenda.now() + micros;
    }

    Fleet fleet() {
      return fleet;
    }

    private void recordIncarnation() {
      if (fleet != null && fleet.membership() != null) {
        Incarnation now = fleet.membership().incarnation();
        highestIncarnation =
            highestIncarnation == null || now.compareTo(highestIncarnation) > 0
                ? now
                : highestIncarnation;
      }
    }

    private void onViewChange(ViewChange change) {
      Member after = change.after();
      Member before = change.before();
      if (after == null && before == null) {
        return;
      }
      SimulatedMember other = byName.get(after == null ? before.name() : after.name());
      if (other == null || other == this) {
        return;
      }
      boolean live = after != null && after.state().isLive();
      believesLive[other.number] = live;
      if (before != null
          && after != null
          && !before.state().isLive()
          && live
          && after.incarnation().compareTo(before.incarnation()) <= 0) {
        violations.add(name + " took " + other.name + " back at " + after.incarnation());
      }
      other.recordIncarnation();
      if (after != null && other.highestIncarnation != null && duplicateNames == 0) {
        if (after.incarnation().compareTo(other.highestIncarnation) > 0) {
          violations.add(
              name + " has " + other.name + " at " + after.incarnation() + ", never had");
        }
        if (after.state() == State.DEAD
            && other.hasLeft
            && after.incarnation().equals(other.highestIncarnation)) {
          violations.add(name + " takes the goodbye of " + other.name + " for a death");
        }
      }
      // A joining member that first receives another one as dead has not declared it dead itself.
      boolean declared = before != null && before.state().isLive();
      if (declared && after != null && after.state() == State.DEAD && other.isRunning()) {
        if (isReachable(other)) {
          falseDeathHandler.falseDeath(agenda.now(), name, other.name);
        } else if (other.runningSinceMicros > agenda.now() - MIN_REACHABLE_MICROS) {
          pausedDeaths++;
        }
      }
    }

    /**
     * Returns whether the members could exchange datagrams, directly or through a third member,
     * throughout the last {@link #MIN_REACHABLE_MICROS}.
     */
    private boolean isReachable(SimulatedMember other) {
      long since = agenda.now() - MIN_REACHABLE_MICROS;
      if (!other.isRunning() || other.runningSinceMicros > since) {
        return false;
      }
      if (lastPartition == null
          || (healedAtMicros <= since && !isPartitioned)
          || isConnected(this, other)) {
        return true;
      }
      // In a large cluster only a sample of third members is tried, since every death runs this.
      for (int i = 0; i < members.size(); i += 1 + members.size() / MAX_INTERMEDIARIES) {
        SimulatedMember third = members.get(i);
        if (third != this
            && third != other
            && third.isRunning()
            && third.runningSinceMicros <= since
            && isConnected(this, third)
            && isConnected(third, other)) {
          return true;
        }
      }
      return false;
    }

    boolean believesLive(SimulatedMember other) {
      return believesLive[other.number];
    }
  }

  /**
   * A death declared sooner than this after the member became reachable does not count as false.
   */
  static final long MIN_REACHABLE_MICROS = 3 * SECOND;

  private final Agenda agenda = new Agenda();
  private final Fabric fabric;
  private final RandomStreams.Stream stream;
  private final Settings settings;
  private final UnaryOperator<Network> networkDecorator;
  private final List<InetSocketAddress> seeds = new ArrayList<>();
  private final List<SimulatedMember> members = new ArrayList<>();
  private final Map<String, SimulatedMember> byName = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final int maxMembers;
  private int pausedDeaths;
  private int duplicateNames;
  private FalseDeathHandler falseDeathHandler = (now, observer, member) -> {};
  private BiPredicate<Machine, Machine> lastPartition;
  private Disturbance partition;
  private boolean isPartitioned;
  private long healedAtMicros;

  /**
   * @param maxMembers maximum number of members
   * @param networkDecorator decorates the network of each member; the identity unless a test
   *     injects a bug
   */
  SimulatedCluster(
      long seed, int maxMembers, Settings settings, UnaryOperator<Network> networkDecorator) {
    RandomStreams draws = new RandomStreams(seed);
    fabric = new Fabric(agenda, draws, LATENCY, BUFFERS);
    stream = draws.of("flock");
    this.settings = settings;
    this.networkDecorator = networkDecorator;
    this.maxMembers = maxMembers;
  }

  private boolean isConnected(SimulatedMember a, SimulatedMember b) {
    return !lastPartition.test(a.machine, b.machine) && !lastPartition.test(b.machine, a.machine);
  }

  static InetAddress address(int number) {
    try {
      return InetAddress.getByAddress(new byte[] {10, 9, (byte) (number >> 8), (byte) number});
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are an address", e);
    }
  }

  /** Adds a member without starting it. */
  SimulatedMember add() {
    SimulatedMember one = new SimulatedMember(members.size(), maxMembers);
    members.add(one);
    byName.put(one.name, one);
    return one;
  }

  /** Adds a member with the name of another one on a machine of its own. */
  SimulatedMember addDuplicate(SimulatedMember member) {
    duplicateNames++;
    SimulatedMember one = new SimulatedMember(members.size(), maxMembers, member.name);
    members.add(one);
    return one;
  }

  /** Sets the seed addresses that members use as of their next start. */
  void seeds(SimulatedMember... ones) {
    seeds.clear();
    for (SimulatedMember one : ones) {
      seeds.add(new InetSocketAddress(one.machine.address(), PORT));
    }
  }

  void falseDeathHandler(FalseDeathHandler handler) {
    falseDeathHandler = handler;
  }

  List<SimulatedMember> members() {
    return members;
  }

  /** Returns the violations of invariants so far. */
  List<String> violations() {
    return violations;
  }

  /** Returns how often a member that was only paused or had just started was declared dead. */
  int pausedDeaths() {
    return pausedDeaths;
  }

  RandomStreams.Stream stream() {
    return stream;
  }

  Fabric fabric() {
    return fabric;
  }

  long now() {
    return agenda.now();
  }

  /** Blocks traffic in the directions that match until {@link #heal}. */
  void cut(BiPredicate<Machine, Machine> between) {
    lastPartition = between;
    isPartitioned = true;
    partition =
        new Disturbance() {
          @Override
          public boolean blocks(Machine from, Machine to) {
            return between.test(from, to);
          }
        };
    fabric.addDisturbance(partition);
  }

  void heal() {
    fabric.removeDisturbance(partition);
    isPartitioned = false;
    healedAtMicros = agenda.now();
  }

  /** Advances virtual time by {@code micros}. */
  void run(long micros) {
    long end = agenda.now() + micros;
    while (agenda.step(end)) {
      // Each step delivers a datagram or runs a timer.
    }
  }

  /**
   * Advances virtual time until a condition holds.
   *
   * @return the elapsed time in microseconds, or -1 if the condition did not hold within the limit
   */
  long runUntil(long limitMicros, BooleanSupplier condition) {
    long start = agenda.now();
    while (!condition.getAsBoolean()) {
      if (agenda.now() - start >= limitMicros) {
        return -1;
      }
      run(10 * Agenda.MILLI);
    }
    return agenda.now() - start;
  }

  /**
   * Returns whether all other running members consider a member live or, if {@code live} is false,
   * not live.
   */
  boolean allAgreeOn(SimulatedMember member, boolean live) {
    for (SimulatedMember one : members) {
      if (one != member && one.isRunning() && one.believesLive[member.number] != live) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether the views of all running members match the ground truth. */
  boolean allViewsCorrect() {
    for (SimulatedMember one : members) {
      if (one.isRunning()) {
        for (SimulatedMember other : members) {
          if (one.believesLive[other.number] != other.isRunning()) {
            return false;
          }
        }
      }
    }
    return true;
  }

  /** Returns the number of bytes sent by the running members. */
  long sentBytes() {
    return members.stream()
        .filter(SimulatedMember::isRunning)
        .mapToLong(one -> one.fleet.datagramCounters().sentBytes())
        .sum();
  }

  long sentDatagrams() {
    return members.stream()
        .filter(SimulatedMember::isRunning)
        .mapToLong(one -> one.fleet.datagramCounters().sent())
        .sum();
  }
}
