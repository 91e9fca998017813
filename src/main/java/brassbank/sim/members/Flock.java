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
final class Flock {
  static final int PORT = 7_075;
  private static final long SECOND = Agenda.SECOND;
  private static final long EPOCH_MILLIS = 1_767_225_600_000L;
  private static final int THIRDS = 50;
  private static final int RUNTIME = 20;
  private static final int DESCRIPTORS = 64;

  /** Ways within a zone and between zones, in microseconds, as in {@code brassbank simulate}. */
  private static final Fabric.Latency LATENCY = new Fabric.Latency(110, 320, 700, 1_300, 0.2);

  private static final Fabric.Buffers BUFFERS = new Fabric.Buffers(1 << 16, 1 << 16, 100_000_000);
  private static final List<String> ZONES = List.of("leith", "dalkeith");

  /** Who is told when somebody believes something false of somebody who could be reached. */
  interface Alarm {
    void falseDeath(long now, String by, String of);
  }

  /** One member, through the lives of its process. */
  final class One {
    final int number;
    final String name;
    final Machine machine;
    private final boolean[] believes;
    private Program program;
    private Fleet fleet;
    private long clockStep;
    private long life;

    /** The highest incarnation that it has had; null before its first start. */
    private Incarnation highest;

    private boolean goodbye;

    /** It has run, and has not been stopped, since then. */
    long soundSince;

    One(int number, int most) {
      this(number, most, "n" + number);
    }

    /** With another's name. */
    private One(int number, int most, String name) {
      this.number = number;
      this.name = name;
      machine = fabric.machine("n" + number, ZONES.get(number % ZONES.size()), address(number));
      believes = new boolean[most];
    }

    boolean running() {
      return program != null && program.alive();
    }

    void start() {
      program = new Program(machine, name, RUNTIME, DESCRIPTORS);
      SimClock clock = new SimClock(agenda, stream.bits() >>> 8, EPOCH_MILLIS + clockStep);
      Network network = wrapping.apply(new SimNetwork(program, clock, held -> {}));
      Net net = new Net(DESCRIPTORS, network);
      goodbye = false;
      java.util.Arrays.fill(believes, false);
      believes[number] = true;
      soundSince = agenda.now();
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
      long thisLife = ++life;
      fleet.addListener(
          change -> {
            if (life == thisLife) {
              changed(change);
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
      clockStep += millis;
    }

    void kill() {
      remember();
      life++;
      program.kill();
    }

    void leave() {
      life++;
      Fleet mine = fleet;
      Program mineToo = program;
      program.later(
          0,
          () -> {
            Incarnation last = mine.membership().incarnation();
            highest = new Incarnation(last.startTime(), last.revision() + 1);
            goodbye = true;
            mine.close(true);
            mineToo.exit();
          });
    }

    void stop(long micros) {
      program.pause(agenda.now() + micros);
      soundSince = agenda.now() + micros;
    }

    Fleet fleet() {
      return fleet;
    }

    private void remember() {
      if (fleet != null && fleet.membership() != null) {
        Incarnation now = fleet.membership().incarnation();
        highest = highest == null || now.compareTo(highest) > 0 ? now : highest;
      }
    }

    private void changed(ViewChange change) {
      Member after = change.after();
      Member before = change.before();
      if (after == null && before == null) {
        return;
      }
      One other = byName.get(after == null ? before.name() : after.name());
      if (other == null || other == this) {
        return;
      }
      boolean there = after != null && after.state().isLive();
      believes[other.number] = there;
      if (before != null
          && after != null
          && !before.state().isLive()
          && there
          && after.incarnation().compareTo(before.incarnation()) <= 0) {
        broken.add(name + " took " + other.name + " back at " + after.incarnation());
      }
      other.remember();
      if (after != null && other.highest != null && twins == 0) {
        if (after.incarnation().compareTo(other.highest) > 0) {
          broken.add(name + " has " + other.name + " at " + after.incarnation() + ", never had");
        }
        if (after.state() == State.DEAD
            && other.goodbye
            && after.incarnation().equals(other.highest)) {
          broken.add(name + " takes the goodbye of " + other.name + " for a death");
        }
      }
      // One of whom a newcomer first hears as of a dead one was not declared so by it.
      boolean declared = before != null && before.state().isLive();
      if (declared && after != null && after.state() == State.DEAD && other.running()) {
        if (reachable(other)) {
          alarm.falseDeath(agenda.now(), name, other.name);
        } else if (other.soundSince > agenda.now() - REACHED_FOR) {
          stoppedDeaths++;
        }
      }
    }

    /** Whether the two could hear each other, straight or by a third, for as long as counts. */
    private boolean reachable(One other) {
      long since = agenda.now() - REACHED_FOR;
      if (!other.running() || other.soundSince > since) {
        return false;
      }
      if (lastCut == null || (healedAt <= since && !cut) || joined(this, other)) {
        return true;
      }
      // Of a large flock a few thirds are tried: each death asks.
      for (int i = 0; i < all.size(); i += 1 + all.size() / THIRDS) {
        One third = all.get(i);
        if (third != this
            && third != other
            && third.running()
            && third.soundSince <= since
            && joined(this, third)
            && joined(third, other)) {
          return true;
        }
      }
      return false;
    }

    boolean believes(One other) {
      return believes[other.number];
    }
  }

  /** One that is declared dead within this after it could be heard again is no false death. */
  static final long REACHED_FOR = 3 * SECOND;

  private final Agenda agenda = new Agenda();
  private final Fabric fabric;
  private final RandomStreams.Stream stream;
  private final Settings settings;
  private final UnaryOperator<Network> wrapping;
  private final List<InetSocketAddress> seeds = new ArrayList<>();
  private final List<One> all = new ArrayList<>();
  private final Map<String, One> byName = new HashMap<>();
  private final List<String> broken = new ArrayList<>();
  private final int most;
  private int stoppedDeaths;
  private int twins;
  private Alarm alarm = (now, by, of) -> {};
  private BiPredicate<Machine, Machine> lastCut;
  private Disturbance cutting;
  private boolean cut;
  private long healedAt;

  /**
   * @param most members that there will be, at most
   * @param wrapping put round the network of each; the identity but where a test plants a bug
   */
  Flock(long seed, int most, Settings settings, UnaryOperator<Network> wrapping) {
    RandomStreams draws = new RandomStreams(seed);
    fabric = new Fabric(agenda, draws, LATENCY, BUFFERS);
    stream = draws.of("flock");
    this.settings = settings;
    this.wrapping = wrapping;
    this.most = most;
  }

  private boolean joined(One a, One b) {
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
  One add() {
    One one = new One(all.size(), most);
    all.add(one);
    byName.put(one.name, one);
    return one;
  }

  /** One more process with the name of another, at a machine of its own. */
  One twin(One of) {
    twins++;
    One one = new One(all.size(), most, of.name);
    all.add(one);
    return one;
  }

  /** Where all look for others, from their next start on. */
  void seeds(One... ones) {
    seeds.clear();
    for (One one : ones) {
      seeds.add(new InetSocketAddress(one.machine.address(), PORT));
    }
  }

  void alarm(Alarm told) {
    alarm = told;
  }

  List<One> all() {
    return all;
  }

  /** What broke a rule of every step, so far. */
  List<String> broken() {
    return broken;
  }

  /** How often somebody was declared dead that was only stopped, or had just begun. */
  int stoppedDeaths() {
    return stoppedDeaths;
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
    fabric.begin(cutting);
  }

  void heal() {
    fabric.end(cutting);
    cut = false;
    healedAt = agenda.now();
  }

  /** Lets time go by. */
  void run(long micros) {
    long end = agenda.now() + micros;
    while (agenda.step(end)) {
      // Each step is a datagram or a beat.
    }
  }

  /** Lets time go by until it is so; how long that took, or -1 if it did not come in time. */
  long until(long within, java.util.function.BooleanSupplier so) {
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
  boolean allBelieve(One of, boolean there) {
    for (One one : all) {
      if (one != of && one.running() && one.believes[of.number] != there) {
        return false;
      }
    }
    return true;
  }

  /** Whether all views are equal, and equal to the truth. */
  boolean allTrue() {
    for (One one : all) {
      if (one.running()) {
        for (One other : all) {
          if (one.believes[other.number] != other.running()) {
            return false;
          }
        }
      }
    }
    return true;
  }

  /** Bytes that all have sent so far. */
  long bytes() {
    return all.stream()
        .filter(One::running)
        .mapToLong(one -> one.fleet.datagramCounters().sentBytes())
        .sum();
  }

  long messages() {
    return all.stream()
        .filter(One::running)
        .mapToLong(one -> one.fleet.datagramCounters().sent())
        .sum();
  }
}
