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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.UnaryOperator;

/** Members on a simulated network, the truth about them, and what each believes of each. */
final class SimulatedCluster {
  static final int PORT = 7_075;
  private static final long SECOND = Agenda.SECOND;
  private static final long EPOCH_MILLIS = 1_767_225_600_000L;
  private static final int MAX_INTERMEDIARIES = 50;
  private static final int RUNTIME_DESCRIPTORS = 20;
  private static final int DESCRIPTOR_LIMIT = 64;

  /** Ways within a zone and between zones, in microseconds, as in {@code brassbank simulate}. */
  private static final Fabric.Latency LATENCY = new Fabric.Latency(110, 320, 700, 1_300, 0.2);

  private static final Fabric.Buffers BUFFERS = new Fabric.Buffers(1 << 16, 1 << 16, 100_000_000);
  private static final List<String> ZONES = List.of("leith", "dalkeith");

  /** Who is told when somebody believes something false of somebody who could be reached. */
  interface FalseDeathHandler {
    void falseDeath(long now, String by, String of);
  }

  /** One member, through the lives of its process. */
  final class SimulatedMember {
    final int number;
    final String name;
    final Machine machine;
    private final boolean[] believesLive;
    private Program program;
    private Fleet fleet;
    private long clockOffsetMillis;
    private long processNumber;

    /** The highest incarnation that it has had; null before its first start. */
    private Incarnation highestIncarnation;

    private boolean hasLeft;

    /** It has run, and has not been stopped, since then. */
    long runningSinceMicros;

    SimulatedMember(int number, int most) {
      this(number, most, "n" + number);
    }

    /** With another's name. */
    private SimulatedMember(int number, int most, String name) {
      this.number = number;
      this.name = name;
      machine = fabric.addMachine("n" + number, ZONES.get(number % ZONES.size()), address(number));
      believesLive = new boolean[most];
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
      java.util.Arrays.fill(believesLive, false);
      believesLive[number] = true;
      runningSinceMicros = agenda.now();
      InetSocketAddress here = new InetSocketAddress(machine.address(), PORT);
      fleet =
          new Fleet(
              net,
              new MembershipConfig("flock", here, here, seeds, settings),
              name,
              machine.zone(),
              new java.util.SplittableRandom(stream.bits()),
              () -> Activity.ACTIVE,
              null);
      Fleet mine = fleet;
      long thisLife = ++processNumber;
      fleet.addListener(
          change -> {
            if (processNumber == thisLife) {
              onViewChange(change);
            }
          });
      try {
        net.start();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      net.execute(mine::open);
    }

    /** Its wall clock goes by so many milliseconds more, from its next start on. */
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
      Fleet mine = fleet;
      Program mineToo = program;
      program.schedule(
          0,
          () -> {
            Incarnation last = mine.membership().incarnation();
            highestIncarnation = new Incarnation(last.startTime(), last.revision() + 1);
            hasLeft = true;
            mine.close(true);
            mineToo.exit();
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
      boolean there = after != null && after.state().isLive();
      believesLive[other.number] = there;
      if (before != null
          && after != null
          && !before.state().isLive()
          && there
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
      // One of whom a newcomer first hears as of a dead one was not declared so by it.
      boolean declared = before != null && before.state().isLive();
      if (declared && after != null && after.state() == State.DEAD && other.isRunning()) {
        if (isReachable(other)) {
          falseDeathHandler.falseDeath(agenda.now(), name, other.name);
        } else if (other.runningSinceMicros > agenda.now() - MIN_REACHABLE_MICROS) {
          pausedDeaths++;
        }
      }
    }

    /** Whether the two could hear each other, straight or by a third, for as long as counts. */
    private boolean isReachable(SimulatedMember other) {
      long since = agenda.now() - MIN_REACHABLE_MICROS;
      if (!other.isRunning() || other.runningSinceMicros > since) {
        return false;
      }
      if (lastCut == null || (healedAtMicros <= since && !cut) || isConnected(this, other)) {
        return true;
      }
      // Of a large flock a few thirds are tried: each death asks.
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

  /** One that is declared dead within this after it could be heard again is no false death. */
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
  private FalseDeathHandler falseDeathHandler = (now, by, of) -> {};
  private BiPredicate<Machine, Machine> lastCut;
  private Disturbance cutting;
  private boolean cut;
  private long healedAtMicros;

  /**
   * @param most members that there will be, at most
   * @param wrapping put round the network of each; the identity but where a test plants a bug
   */
  SimulatedCluster(long seed, int most, Settings settings, UnaryOperator<Network> wrapping) {
    RandomStreams draws = new RandomStreams(seed);
    fabric = new Fabric(agenda, draws, LATENCY, BUFFERS);
    stream = draws.of("flock");
    this.settings = settings;
    this.networkDecorator = wrapping;
    this.maxMembers = most;
  }

  private boolean isConnected(SimulatedMember a, SimulatedMember b) {
    return !lastCut.test(a.machine, b.machine) && !lastCut.test(b.machine, a.machine);
  }

  static InetAddress address(int number) {
    try {
      return InetAddress.getByAddress(new byte[] {10, 9, (byte) (number >> 8), (byte) number});
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are an address", e);
    }
  }

  /** One more, which is not started yet. */
  SimulatedMember add() {
    SimulatedMember one = new SimulatedMember(members.size(), maxMembers);
    members.add(one);
    byName.put(one.name, one);
    return one;
  }

  /** One more process with the name of another, at a machine of its own. */
  SimulatedMember addDuplicate(SimulatedMember of) {
    duplicateNames++;
    SimulatedMember one = new SimulatedMember(members.size(), maxMembers, of.name);
    members.add(one);
    return one;
  }

  /** Where all look for others, from their next start on. */
  void seeds(SimulatedMember... ones) {
    seeds.clear();
    for (SimulatedMember one : ones) {
      seeds.add(new InetSocketAddress(one.machine.address(), PORT));
    }
  }

  void falseDeathHandler(FalseDeathHandler told) {
    falseDeathHandler = told;
  }

  List<SimulatedMember> members() {
    return members;
  }

  /** What broke a rule of every step, so far. */
  List<String> violations() {
    return violations;
  }

  /** How often somebody was declared dead that was only stopped, or had just begun. */
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

  /** Nothing passes between those that are told, from here on. */
  void cut(BiPredicate<Machine, Machine> between) {
    lastCut = between;
    cut = true;
    cutting =
        new Disturbance() {
          @Override
          public boolean blocks(Machine from, Machine to) {
            return between.test(from, to);
          }
        };
    fabric.addDisturbance(cutting);
  }

  void heal() {
    fabric.removeDisturbance(cutting);
    cut = false;
    healedAtMicros = agenda.now();
  }

  /** Lets time go by. */
  void run(long micros) {
    long end = agenda.now() + micros;
    while (agenda.step(end)) {
      // Each step is a datagram or a beat.
    }
  }

  /** Lets time go by until it is so; how long that took, or -1 if it did not come in time. */
  long runUntil(long within, java.util.function.BooleanSupplier so) {
    long begun = agenda.now();
    while (!so.getAsBoolean()) {
      if (agenda.now() - begun >= within) {
        return -1;
      }
      run(10 * Agenda.MILLI);
    }
    return agenda.now() - begun;
  }

  /** Whether all that run believe exactly this of one. */
  boolean allAgreeOn(SimulatedMember of, boolean there) {
    for (SimulatedMember one : members) {
      if (one != of && one.isRunning() && one.believesLive[of.number] != there) {
        return false;
      }
    }
    return true;
  }

  /** Whether all views are equal, and equal to the truth. */
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

  /** Bytes that all have sent so far. */
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
