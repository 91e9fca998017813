package brassbank.sim.members;

import brassbank.membership.Settings;
import brassbank.net.Network;
import brassbank.sim.members.SimulatedCluster.SimulatedMember;
import brassbank.sim.net.Disturbance;
import brassbank.sim.net.Machine;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** A sequence of failures that is applied to a simulated cluster, and the results measured. */
enum MembershipScenario {
  /** No failures: measures the network cost of membership. */
  CALM {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      long bytes = cluster.sentBytes();
      long messages = cluster.sentDatagrams();
      cluster.run(20 * SECOND);
      double members = cluster.members().size();
      result.bytesPerMemberSecond.add((cluster.sentBytes() - bytes) / members / 20);
      result.datagramsPerMemberSecond.add((cluster.sentDatagrams() - messages) / members / 20);
    }
  },

  /** Members are killed one after the other. */
  CRASH {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      for (int i = 0; i < Math.min(8, cluster.members().size() / 3); i++) {
        SimulatedMember one = pickRunning(cluster);
        one.kill();
        result.recordConvergence(
            cluster.runUntil(CONVERGENCE_LIMIT_MICROS, () -> cluster.allAgreeOn(one, false)));
        cluster.run(3 * SECOND);
      }
    }
  },

  /** Members join one after the other. */
  JOIN {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      for (int i = 0; i < 4; i++) {
        SimulatedMember one = cluster.add();
        one.start();
        result.recordConvergence(
            cluster.runUntil(
                CONVERGENCE_LIMIT_MICROS,
                () ->
                    cluster.allAgreeOn(one, true)
                        && cluster.members().stream().allMatch(other -> one.believesLive(other))));
        cluster.run(2 * SECOND);
      }
    }
  },

  /** Members leave with a leave message, one after the other. */
  LEAVE {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      for (int i = 0; i < Math.min(4, cluster.members().size() / 3); i++) {
        SimulatedMember one = pickRunning(cluster);
        one.leave();
        result.recordConvergence(
            cluster.runUntil(CONVERGENCE_LIMIT_MICROS, () -> cluster.allAgreeOn(one, false)));
        cluster.run(3 * SECOND);
      }
    }
  },

  /** Members are killed and restarted within seconds, with the wall clock set back by an hour. */
  RESTART {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      for (int i = 0; i < 4; i++) {
        SimulatedMember one = pickRunning(cluster);
        one.kill();
        cluster.run(cluster.stream().micros(100 * Agenda.MILLI, 6 * SECOND));
        one.stepClock(-3_600_000);
        one.start();
        result.recordConvergence(
            cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
        cluster.run(3 * SECOND);
      }
    }
  },

  /** A partition separates three sevenths of the members for 2 s. */
  SHORT_CUT {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      partition(cluster, result, 2 * SECOND);
    }
  },

  /** A partition separates three sevenths of the members for 60 s. */
  CUT {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      partition(cluster, result, 60 * SECOND);
    }
  },

  /** The cluster is partitioned into three isolated parts for 20 s. */
  THREE {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      cluster.cut((a, b) -> number(a) % 3 != number(b) % 3);
      cluster.run(20 * SECOND);
      cluster.heal();
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  },

  /** For 20 s one member receives from all others, but none receives from it. */
  ONE_WAY {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      cluster.cut((a, b) -> number(a) == 1);
      cluster.run(20 * SECOND);
      cluster.heal();
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  },

  /** The link between two members is blocked for 30 s; no member may be declared dead. */
  PAIR {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      cluster.cut((a, b) -> number(a) + number(b) == 3 && number(a) != 0 && number(b) != 0);
      cluster.run(30 * SECOND);
      if (!cluster.allViewsCorrect()) {
        result.falseDeaths++;
      }
      cluster.heal();
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  },

  /**
   * A fifth of the members restart while a partition heals, and a second partition follows soon.
   */
  CUT_AGAIN {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      int size = cluster.members().size();
      for (int i = 0; i < 2; i++) {
        cluster.cut((a, b) -> (number(a) * 7 < size * 3) != (number(b) * 7 < size * 3));
        cluster.run(8 * SECOND);
        cluster.heal();
        cluster.run(cluster.stream().micros(0, SECOND));
        for (int k = 0; k < size / 5; k++) {
          SimulatedMember one = pickRunning(cluster);
          one.kill();
          one.start();
        }
        cluster.run(cluster.stream().micros(0, SECOND));
      }
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  },

  /** Members are paused for 1 s, one after the other. */
  STOP_1 {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      pauseMembers(cluster, result, SECOND);
    }
  },

  /** Members are paused for 3 s, one after the other. */
  STOP_3 {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      pauseMembers(cluster, result, 3 * SECOND);
    }
  },

  /** Three members are paused for 20 s. */
  STOP_20 {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      for (int i = 0; i < 3; i++) {
        pickRunning(cluster).pause(20 * SECOND);
      }
      cluster.run(20 * SECOND);
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  },

  /** 10% datagram loss, delays of up to 300 ms, and pauses of members of up to 1 s. */
  ROUGH {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      degradeNetwork(cluster, 0.1, 300 * Agenda.MILLI, SECOND);
    }
  },

  /** {@link #ROUGH} with pauses of up to 3 s. */
  ROUGH_3 {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      degradeNetwork(cluster, 0.1, 300 * Agenda.MILLI, 3 * SECOND);
    }
  },

  /** 30% datagram loss and delays of up to 500 ms; views must converge afterwards. */
  STORM {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      degradeNetwork(cluster, 0.3, 500 * Agenda.MILLI, 0);
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  },

  /** Members restart one after the other, faster than a failure is detected. */
  ROLLING {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      for (SimulatedMember one : List.copyOf(cluster.members())) {
        one.kill();
        cluster.run(200 * Agenda.MILLI);
        one.start();
        cluster.run(300 * Agenda.MILLI);
      }
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  },

  /**
   * A partition of 30 s while the seed addresses belong to members that were killed long before.
   */
  CUT_WITHOUT_SEEDS {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      List<SimulatedMember> seeds = List.copyOf(cluster.members().subList(0, SEED_MEMBERS));
      seeds.forEach(SimulatedMember::kill);
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
      partition(cluster, result, 30 * SECOND);
    }
  },

  /** The tombstone of a dead member must be removed after the retention time. */
  FORGET {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      SimulatedMember one = pickRunning(cluster);
      one.kill();
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, () -> cluster.allAgreeOn(one, false)));
      cluster.run(TOMBSTONE_RETENTION_MICROS + 5 * SECOND);
      for (SimulatedMember other : cluster.members()) {
        if (other.isRunning()
            && other.fleet().view().members().stream()
                .anyMatch(member -> member.name().equals(one.name))) {
          result.violations.add(other.name + " still remembers " + one.name);
        }
      }
    }

    @Override
    Settings adjust(Settings settings) {
      return settings.withTombstoneRetention(TOMBSTONE_RETENTION_MICROS);
    }
  },

  /** Half of all datagrams are duplicated and 10% delayed by 6 s, while members restart. */
  OLD_DATAGRAMS {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      RandomStreams.Stream jitter = cluster.stream();
      Disturbance delayed =
          new Disturbance() {
            @Override
            public double datagramDuplicationRate(Machine from, Machine to) {
              return 0.5;
            }

            @Override
            public long delayMicros(Machine from, Machine to) {
              return jitter.chance(0.1) ? 6 * SECOND : 0;
            }

            @Override
            public boolean affects(Machine from, Machine to) {
              return true;
            }
          };
      cluster.fabric().addDisturbance(delayed);
      for (int i = 0; i < 6; i++) {
        SimulatedMember one = pickRunning(cluster);
        one.kill();
        cluster.run(SECOND);
        one.start();
        cluster.run(4 * SECOND);
      }
      cluster.fabric().removeDisturbance(delayed);
      cluster.run(6 * SECOND);
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  },

  /** Members leave while 30% of the datagrams are lost. */
  LEAVE_IN_LOSS {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      Disturbance loss =
          new Disturbance() {
            @Override
            public double datagramLossRate(Machine from, Machine to) {
              return 0.3;
            }
          };
      cluster.fabric().addDisturbance(loss);
      LEAVE.play(cluster, result);
      cluster.fabric().removeDisturbance(loss);
    }
  },

  /** One member runs for only 50 ms of each 500 ms; it must not cause false deaths. */
  STARVED {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      SimulatedMember one = pickRunning(cluster);
      for (int i = 0; i < 60; i++) {
        one.pause(450 * Agenda.MILLI);
        cluster.run(500 * Agenda.MILLI);
      }
      cluster.run(SECOND);
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  },

  /**
   * One member receives nothing for 5 s. Its local health score must slow its suspicions of others.
   */
  DEAF {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      SimulatedMember one = cluster.members().get(1);
      cluster.cut((a, b) -> number(b) == 1);
      cluster.run(5 * SECOND);
      result.suspicions = (int) one.fleet().membership().counters().suspicions();
      cluster.heal();
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  },

  /** All members but one are killed and restarted together 10 s later. */
  ALL_BUT_ONE {
    @Override
    void play(SimulatedCluster cluster, Result result) {
      List<SimulatedMember> rest = new ArrayList<>(cluster.members());
      SimulatedMember survivor = cluster.stream().pick(rest);
      rest.remove(survivor);
      rest.forEach(SimulatedMember::kill);
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
      cluster.run(10 * SECOND);
      rest.forEach(SimulatedMember::start);
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
    }
  };

  /** Tombstone retention in {@link #FORGET}. */
  static final long TOMBSTONE_RETENTION_MICROS = 20 * Agenda.SECOND;

  private static final long SECOND = Agenda.SECOND;
  private static final long CONVERGENCE_LIMIT_MICROS = 40 * SECOND;

  /** Number of members whose addresses serve as seeds. */
  private static final int SEED_MEMBERS = 3;

  /** Results of one run. */
  static final class Result {
    final List<Double> convergenceSeconds = new ArrayList<>();
    final List<Double> bytesPerMemberSecond = new ArrayList<>();
    final List<Double> datagramsPerMemberSecond = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    int falseDeaths;
    String firstFalseDeath = "";
    int unconverged;

    /** Suspicions raised by the member that was impaired itself. */
    int suspicions;

    /** How often a member that was only paused was declared dead. */
    int pausedDeaths;

    void recordConvergence(long micros) {
      if (micros < 0) {
        unconverged++;
      } else {
        convergenceSeconds.add(micros / (double) SECOND);
      }
    }
  }

  abstract void play(SimulatedCluster cluster, Result result);

  /** Runs the scenario on a cluster that has formed and settled. */
  Result play(long seed, int members, Settings settings, UnaryOperator<Network> wrapping) {
    SimulatedCluster cluster = new SimulatedCluster(seed, members + 8, settings, wrapping);
    Result result = new Result();
    List<SimulatedMember> first = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      first.add(cluster.add());
    }
    cluster.seeds(
        first.subList(0, Math.min(SEED_MEMBERS, members)).toArray(new SimulatedMember[0]));
    for (SimulatedMember one : first) {
      one.start();
      cluster.run(cluster.stream().micros(0, 2 * SECOND / members));
    }
    if (cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect) < 0) {
      result.violations.add("the flock did not come together");
    }
    cluster.run(5 * SECOND);
    cluster.falseDeathHandler(
        (now, observer, member) -> {
          if (result.falseDeaths++ == 0) {
            result.firstFalseDeath = String.format("%.2f s: %s of %s", now / 1e6, observer, member);
          }
        });
    play(cluster, result);
    result.violations.addAll(cluster.violations());
    result.pausedDeaths = cluster.pausedDeaths();
    return result;
  }

  /** Returns the settings adjusted to the needs of the scenario. */
  Settings adjust(Settings settings) {
    return settings;
  }

  private static SimulatedMember pickRunning(SimulatedCluster cluster) {
    List<SimulatedMember> living =
        cluster.members().stream().filter(SimulatedMember::isRunning).toList();
    return cluster.stream().pick(living);
  }

  private static int number(Machine machine) {
    return Integer.parseInt(machine.name().substring(1));
  }

  private static void partition(SimulatedCluster cluster, Result result, long length) {
    int size = cluster.members().size();
    cluster.cut((a, b) -> (number(a) * 7 < size * 3) != (number(b) * 7 < size * 3));
    cluster.run(length);
    cluster.heal();
    result.recordConvergence(cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
  }

  private static void pauseMembers(SimulatedCluster cluster, Result result, long length) {
    for (int i = 0; i < 6; i++) {
      SimulatedMember one = pickRunning(cluster);
      one.pause(length);
      cluster.run(length);
      result.recordConvergence(
          cluster.runUntil(CONVERGENCE_LIMIT_MICROS, cluster::allViewsCorrect));
      cluster.run(3 * SECOND);
    }
  }

  private static void degradeNetwork(
      SimulatedCluster cluster, double loss, long maxDelay, long maxPause) {
    RandomStreams.Stream jitter = cluster.stream();
    Disturbance degraded =
        new Disturbance() {
          @Override
          public double datagramLossRate(Machine from, Machine to) {
            return loss;
          }

          @Override
          public double datagramDuplicationRate(Machine from, Machine to) {
            return 0.05;
          }

          @Override
          public long delayMicros(Machine from, Machine to) {
            return jitter.micros(0, maxDelay);
          }
        };
    cluster.fabric().addDisturbance(degraded);
    for (int i = 0; i < 12; i++) {
      if (maxPause > 0) {
        pickRunning(cluster).pause(jitter.micros(maxPause / 10, maxPause));
      }
      cluster.run(4 * SECOND);
    }
    cluster.fabric().removeDisturbance(degraded);
  }
}
