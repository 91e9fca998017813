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

/** What is done to a flock, and what of it is measured. */
enum MembershipScenario {
  /** Nothing: what membership costs. */
  CALM {
    @Override
    void play(SimulatedCluster flock, Result result) {
      long bytes = flock.sentBytes();
      long messages = flock.sentDatagrams();
      flock.run(20 * SECOND);
      double members = flock.members().size();
      result.bytesPerMemberSecond.add((flock.sentBytes() - bytes) / members / 20);
      result.datagramsPerMemberSecond.add((flock.sentDatagrams() - messages) / members / 20);
    }
  },

  /** One after the other is killed. */
  CRASH {
    @Override
    void play(SimulatedCluster flock, Result result) {
      for (int i = 0; i < Math.min(8, flock.members().size() / 3); i++) {
        SimulatedMember one = pickRunning(flock);
        one.kill();
        result.recordConvergence(
            flock.runUntil(CONVERGENCE_LIMIT_MICROS, () -> flock.allAgreeOn(one, false)));
        flock.run(3 * SECOND);
      }
    }
  },

  /** One after the other comes. */
  JOIN {
    @Override
    void play(SimulatedCluster flock, Result result) {
      for (int i = 0; i < 4; i++) {
        SimulatedMember one = flock.add();
        one.start();
        result.recordConvergence(
            flock.runUntil(
                CONVERGENCE_LIMIT_MICROS,
                () ->
                    flock.allAgreeOn(one, true)
                        && flock.members().stream().allMatch(other -> one.believesLive(other))));
        flock.run(2 * SECOND);
      }
    }
  },

  /** One says goodbye. */
  LEAVE {
    @Override
    void play(SimulatedCluster flock, Result result) {
      for (int i = 0; i < Math.min(4, flock.members().size() / 3); i++) {
        SimulatedMember one = pickRunning(flock);
        one.leave();
        result.recordConvergence(
            flock.runUntil(CONVERGENCE_LIMIT_MICROS, () -> flock.allAgreeOn(one, false)));
        flock.run(3 * SECOND);
      }
    }
  },

  /** One is killed and starts again at once, its clock put back by an hour. */
  RESTART {
    @Override
    void play(SimulatedCluster flock, Result result) {
      for (int i = 0; i < 4; i++) {
        SimulatedMember one = pickRunning(flock);
        one.kill();
        flock.run(flock.stream().micros(100 * Agenda.MILLI, 6 * SECOND));
        one.stepClock(-3_600_000);
        one.start();
        result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
        flock.run(3 * SECOND);
      }
    }
  },

  /** Three sevenths are cut off for two seconds. */
  SHORT_CUT {
    @Override
    void play(SimulatedCluster flock, Result result) {
      partition(flock, result, 2 * SECOND);
    }
  },

  /** Three sevenths are cut off for a minute. */
  CUT {
    @Override
    void play(SimulatedCluster flock, Result result) {
      partition(flock, result, 60 * SECOND);
    }
  },

  /** Three parts, none of which hears another, for twenty seconds. */
  THREE {
    @Override
    void play(SimulatedCluster flock, Result result) {
      flock.cut((a, b) -> number(a) % 3 != number(b) % 3);
      flock.run(20 * SECOND);
      flock.heal();
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  },

  /** One is heard by nobody, and hears all; twenty seconds. */
  ONE_WAY {
    @Override
    void play(SimulatedCluster flock, Result result) {
      flock.cut((a, b) -> number(a) == 1);
      flock.run(20 * SECOND);
      flock.heal();
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  },

  /** Two do not hear each other, and all others hear both: nobody may be taken for dead. */
  PAIR {
    @Override
    void play(SimulatedCluster flock, Result result) {
      flock.cut((a, b) -> number(a) + number(b) == 3 && number(a) != 0 && number(b) != 0);
      flock.run(30 * SECOND);
      if (!flock.allViewsCorrect()) {
        result.falseDeaths++;
      }
      flock.heal();
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  },

  /** A fifth of them restart while a cut heals, and it is cut once more before all has settled. */
  CUT_AGAIN {
    @Override
    void play(SimulatedCluster flock, Result result) {
      int size = flock.members().size();
      for (int i = 0; i < 2; i++) {
        flock.cut((a, b) -> (number(a) * 7 < size * 3) != (number(b) * 7 < size * 3));
        flock.run(8 * SECOND);
        flock.heal();
        flock.run(flock.stream().micros(0, SECOND));
        for (int k = 0; k < size / 5; k++) {
          SimulatedMember one = pickRunning(flock);
          one.kill();
          one.start();
        }
        flock.run(flock.stream().micros(0, SECOND));
      }
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  },

  /** Each is stopped once, for one second. */
  STOP_1 {
    @Override
    void play(SimulatedCluster flock, Result result) {
      pauseMembers(flock, result, SECOND);
    }
  },

  /** Each is stopped once, for three seconds. */
  STOP_3 {
    @Override
    void play(SimulatedCluster flock, Result result) {
      pauseMembers(flock, result, 3 * SECOND);
    }
  },

  /** Some are stopped for twenty seconds. */
  STOP_20 {
    @Override
    void play(SimulatedCluster flock, Result result) {
      for (int i = 0; i < 3; i++) {
        pickRunning(flock).pause(20 * SECOND);
      }
      flock.run(20 * SECOND);
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  },

  /** A tenth is lost, all is late by up to 300 ms, and some are stopped for up to a second. */
  ROUGH {
    @Override
    void play(SimulatedCluster flock, Result result) {
      degradeNetwork(flock, 0.1, 300 * Agenda.MILLI, SECOND);
    }
  },

  /** The same with stops of up to three seconds. */
  ROUGH_3 {
    @Override
    void play(SimulatedCluster flock, Result result) {
      degradeNetwork(flock, 0.1, 300 * Agenda.MILLI, 3 * SECOND);
    }
  },

  /** Three of ten are lost, and all is late by up to half a second: it must be sound after it. */
  STORM {
    @Override
    void play(SimulatedCluster flock, Result result) {
      degradeNetwork(flock, 0.3, 500 * Agenda.MILLI, 0);
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  },

  /** Restarts one after the other, faster than a death is noticed. */
  ROLLING {
    @Override
    void play(SimulatedCluster flock, Result result) {
      for (SimulatedMember one : List.copyOf(flock.members())) {
        one.kill();
        flock.run(200 * Agenda.MILLI);
        one.start();
        flock.run(300 * Agenda.MILLI);
      }
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  },

  /** As a cut of half a minute, and the addresses of the file are those of members long dead. */
  CUT_WITHOUT_SEEDS {
    @Override
    void play(SimulatedCluster flock, Result result) {
      List<SimulatedMember> seeds = List.copyOf(flock.members().subList(0, SEED_MEMBERS));
      seeds.forEach(SimulatedMember::kill);
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
      partition(flock, result, 30 * SECOND);
    }
  },

  /** Whoever is dead for long enough is forgotten. */
  FORGET {
    @Override
    void play(SimulatedCluster flock, Result result) {
      SimulatedMember one = pickRunning(flock);
      one.kill();
      result.recordConvergence(
          flock.runUntil(CONVERGENCE_LIMIT_MICROS, () -> flock.allAgreeOn(one, false)));
      flock.run(TOMBSTONE_RETENTION_MICROS + 5 * SECOND);
      for (SimulatedMember other : flock.members()) {
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

  /** Half of all datagrams come twice, and one in ten six seconds late, while some restart. */
  OLD_DATAGRAMS {
    @Override
    void play(SimulatedCluster flock, Result result) {
      RandomStreams.Stream jitter = flock.stream();
      Disturbance old =
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
      flock.fabric().addDisturbance(old);
      for (int i = 0; i < 6; i++) {
        SimulatedMember one = pickRunning(flock);
        one.kill();
        flock.run(SECOND);
        one.start();
        flock.run(4 * SECOND);
      }
      flock.fabric().removeDisturbance(old);
      flock.run(6 * SECOND);
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  },

  /** Goodbyes while three of ten datagrams are lost. */
  LEAVE_IN_LOSS {
    @Override
    void play(SimulatedCluster flock, Result result) {
      Disturbance loss =
          new Disturbance() {
            @Override
            public double datagramLossRate(Machine from, Machine to) {
              return 0.3;
            }
          };
      flock.fabric().addDisturbance(loss);
      LEAVE.play(flock, result);
      flock.fabric().removeDisturbance(loss);
    }
  },

  /** One runs for 50 of each 500 ms: it must not blame the others. */
  STARVED {
    @Override
    void play(SimulatedCluster flock, Result result) {
      SimulatedMember one = pickRunning(flock);
      for (int i = 0; i < 60; i++) {
        one.pause(450 * Agenda.MILLI);
        flock.run(500 * Agenda.MILLI);
      }
      flock.run(SECOND);
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  },

  /**
   * One hears nobody for five seconds: its own health is what makes it slow to blame the others.
   */
  DEAF {
    @Override
    void play(SimulatedCluster flock, Result result) {
      SimulatedMember one = flock.members().get(1);
      flock.cut((a, b) -> number(b) == 1);
      flock.run(5 * SECOND);
      result.suspicions = (int) one.fleet().membership().counters().suspicions();
      flock.heal();
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  },

  /** All but one are killed, and start again ten seconds later, at once. */
  ALL_BUT_ONE {
    @Override
    void play(SimulatedCluster flock, Result result) {
      List<SimulatedMember> rest = new ArrayList<>(flock.members());
      SimulatedMember left = flock.stream().pick(rest);
      rest.remove(left);
      rest.forEach(SimulatedMember::kill);
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
      flock.run(10 * SECOND);
      rest.forEach(SimulatedMember::start);
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
    }
  };

  /** In {@link #FORGET}, for so long the dead are remembered. */
  static final long TOMBSTONE_RETENTION_MICROS = 20 * Agenda.SECOND;

  private static final long SECOND = Agenda.SECOND;
  private static final long CONVERGENCE_LIMIT_MICROS = 40 * SECOND;

  /** Where all look for others. */
  private static final int SEED_MEMBERS = 3;

  /** What came of a play. */
  static final class Result {
    final List<Double> convergenceSeconds = new ArrayList<>();
    final List<Double> bytesPerMemberSecond = new ArrayList<>();
    final List<Double> datagramsPerMemberSecond = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    int falseDeaths;
    String firstFalseDeath = "";
    int unconverged;

    /** Suspicions that a member had that was ill itself. */
    int suspicions;

    /** Views in which a member died that was only stopped. */
    int pausedDeaths;

    void recordConvergence(long micros) {
      if (micros < 0) {
        unconverged++;
      } else {
        convergenceSeconds.add(micros / (double) SECOND);
      }
    }
  }

  abstract void play(SimulatedCluster flock, Result result);

  /** Plays it on a flock that has grown and settled. */
  Result play(long seed, int members, Settings settings, UnaryOperator<Network> wrapping) {
    SimulatedCluster flock = new SimulatedCluster(seed, members + 8, settings, wrapping);
    Result result = new Result();
    List<SimulatedMember> first = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      first.add(flock.add());
    }
    flock.seeds(first.subList(0, Math.min(SEED_MEMBERS, members)).toArray(new SimulatedMember[0]));
    for (SimulatedMember one : first) {
      one.start();
      flock.run(flock.stream().micros(0, 2 * SECOND / members));
    }
    if (flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect) < 0) {
      result.violations.add("the flock did not come together");
    }
    flock.run(5 * SECOND);
    flock.falseDeathHandler(
        (now, by, of) -> {
          if (result.falseDeaths++ == 0) {
            result.firstFalseDeath = String.format("%.2f s: %s of %s", now / 1e6, by, of);
          }
        });
    play(flock, result);
    result.violations.addAll(flock.violations());
    result.pausedDeaths = flock.pausedDeaths();
    return result;
  }

  /** The settings as the scene needs them. */
  Settings adjust(Settings settings) {
    return settings;
  }

  private static SimulatedMember pickRunning(SimulatedCluster flock) {
    List<SimulatedMember> living =
        flock.members().stream().filter(SimulatedMember::isRunning).toList();
    return flock.stream().pick(living);
  }

  private static int number(Machine machine) {
    return Integer.parseInt(machine.name().substring(1));
  }

  private static void partition(SimulatedCluster flock, Result result, long length) {
    int size = flock.members().size();
    flock.cut((a, b) -> (number(a) * 7 < size * 3) != (number(b) * 7 < size * 3));
    flock.run(length);
    flock.heal();
    result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
  }

  private static void pauseMembers(SimulatedCluster flock, Result result, long length) {
    for (int i = 0; i < 6; i++) {
      SimulatedMember one = pickRunning(flock);
      one.pause(length);
      flock.run(length);
      result.recordConvergence(flock.runUntil(CONVERGENCE_LIMIT_MICROS, flock::allViewsCorrect));
      flock.run(3 * SECOND);
    }
  }

  private static void degradeNetwork(
      SimulatedCluster flock, double loss, long late, long longestStop) {
    RandomStreams.Stream jitter = flock.stream();
    Disturbance rough =
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
            return jitter.micros(0, late);
          }
        };
    flock.fabric().addDisturbance(rough);
    for (int i = 0; i < 12; i++) {
      if (longestStop > 0) {
        pickRunning(flock).pause(jitter.micros(longestStop / 10, longestStop));
      }
      flock.run(4 * SECOND);
    }
    flock.fabric().removeDisturbance(rough);
  }
}
