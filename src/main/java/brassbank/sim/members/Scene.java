package brassbank.sim.members;

import brassbank.membership.Settings;
import brassbank.net.Network;
import brassbank.sim.members.Flock.One;
import brassbank.sim.net.Disturbance;
import brassbank.sim.net.Machine;
import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/** What is done to a flock, and what of it is measured. */
enum Scene {
  /** Nothing: what membership costs. */
  CALM {
    @Override
    void play(Flock flock, Result result) {
      long bytes = flock.bytes();
      long messages = flock.messages();
      flock.run(20 * SECOND);
      double members = flock.all().size();
      result.bytes.add((flock.bytes() - bytes) / members / 20);
      result.messages.add((flock.messages() - messages) / members / 20);
    }
  },

  /** One after the other is killed. */
  CRASH {
    @Override
    void play(Flock flock, Result result) {
      for (int i = 0; i < Math.min(8, flock.all().size() / 3); i++) {
        One one = living(flock);
        one.kill();
        result.took(flock.until(LIMIT, () -> flock.allBelieve(one, false)));
        flock.run(3 * SECOND);
      }
    }
  },

  /** One after the other comes. */
  JOIN {
    @Override
    void play(Flock flock, Result result) {
      for (int i = 0; i < 4; i++) {
        One one = flock.add();
        one.start();
        result.took(
            flock.until(
                LIMIT,
                () ->
                    flock.allBelieve(one, true)
                        && flock.all().stream().allMatch(other -> one.believes(other))));
        flock.run(2 * SECOND);
      }
    }
  },

  /** One says goodbye. */
  LEAVE {
    @Override
    void play(Flock flock, Result result) {
      for (int i = 0; i < Math.min(4, flock.all().size() / 3); i++) {
        One one = living(flock);
        one.leave();
        result.took(flock.until(LIMIT, () -> flock.allBelieve(one, false)));
        flock.run(3 * SECOND);
      }
    }
  },

  /** One is killed and starts again at once, its clock put back by an hour. */
  RESTART {
    @Override
    void play(Flock flock, Result result) {
      for (int i = 0; i < 4; i++) {
        One one = living(flock);
        one.kill();
        flock.run(flock.stream().micros(100 * Agenda.MILLI, 6 * SECOND));
        one.stepClock(-3_600_000);
        one.start();
        result.took(flock.until(LIMIT, flock::allTrue));
        flock.run(3 * SECOND);
      }
    }
  },

  /** Three sevenths are cut off for two seconds. */
  SHORT_CUT {
    @Override
    void play(Flock flock, Result result) {
      halves(flock, result, 2 * SECOND);
    }
  },

  /** Three sevenths are cut off for a minute. */
  CUT {
    @Override
    void play(Flock flock, Result result) {
      halves(flock, result, 60 * SECOND);
    }
  },

  /** Three parts, none of which hears another, for twenty seconds. */
  THREE {
    @Override
    void play(Flock flock, Result result) {
      flock.cut((a, b) -> number(a) % 3 != number(b) % 3);
      flock.run(20 * SECOND);
      flock.heal();
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  },

  /** One is heard by nobody, and hears all; twenty seconds. */
  ONE_WAY {
    @Override
    void play(Flock flock, Result result) {
      flock.cut((a, b) -> number(a) == 1);
      flock.run(20 * SECOND);
      flock.heal();
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  },

  /** Two do not hear each other, and all others hear both: nobody may be taken for dead. */
  PAIR {
    @Override
    void play(Flock flock, Result result) {
      flock.cut((a, b) -> number(a) + number(b) == 3 && number(a) != 0 && number(b) != 0);
      flock.run(30 * SECOND);
      if (!flock.allTrue()) {
        result.falseDeaths++;
      }
      flock.heal();
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  },

  /** A fifth of them restart while a cut heals, and it is cut once more before all has settled. */
  CUT_AGAIN {
    @Override
    void play(Flock flock, Result result) {
      int size = flock.all().size();
      for (int i = 0; i < 2; i++) {
        flock.cut((a, b) -> (number(a) * 7 < size * 3) != (number(b) * 7 < size * 3));
        flock.run(8 * SECOND);
        flock.heal();
        flock.run(flock.stream().micros(0, SECOND));
        for (int k = 0; k < size / 5; k++) {
          One one = living(flock);
          one.kill();
          one.start();
        }
        flock.run(flock.stream().micros(0, SECOND));
      }
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  },

  /** Each is stopped once, for one second. */
  STOP_1 {
    @Override
    void play(Flock flock, Result result) {
      stops(flock, result, SECOND);
    }
  },

  /** Each is stopped once, for three seconds. */
  STOP_3 {
    @Override
    void play(Flock flock, Result result) {
      stops(flock, result, 3 * SECOND);
    }
  },

  /** Some are stopped for twenty seconds. */
  STOP_20 {
    @Override
    void play(Flock flock, Result result) {
      for (int i = 0; i < 3; i++) {
        living(flock).stop(20 * SECOND);
      }
      flock.run(20 * SECOND);
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  },

  /** A tenth is lost, all is late by up to 300 ms, and some are stopped for up to a second. */
  ROUGH {
    @Override
    void play(Flock flock, Result result) {
      rough(flock, 0.1, 300 * Agenda.MILLI, SECOND);
    }
  },

  /** The same with stops of up to three seconds. */
  ROUGH_3 {
    @Override
    void play(Flock flock, Result result) {
      rough(flock, 0.1, 300 * Agenda.MILLI, 3 * SECOND);
    }
  },

  /** Three of ten are lost, and all is late by up to half a second: it must be sound after it. */
  STORM {
    @Override
    void play(Flock flock, Result result) {
      rough(flock, 0.3, 500 * Agenda.MILLI, 0);
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  },

  /** Restarts one after the other, faster than a death is noticed. */
  ROLLING {
    @Override
    void play(Flock flock, Result result) {
      for (One one : List.copyOf(flock.all())) {
        one.kill();
        flock.run(200 * Agenda.MILLI);
        one.start();
        flock.run(300 * Agenda.MILLI);
      }
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  },

  /** As a cut of half a minute, and the addresses of the file are those of members long dead. */
  CUT_WITHOUT_SEEDS {
    @Override
    void play(Flock flock, Result result) {
      List<One> seeds = List.copyOf(flock.all().subList(0, SEEDS));
      seeds.forEach(One::kill);
      result.took(flock.until(LIMIT, flock::allTrue));
      halves(flock, result, 30 * SECOND);
    }
  },

  /** Whoever is dead for long enough is forgotten. */
  FORGET {
    @Override
    void play(Flock flock, Result result) {
      One one = living(flock);
      one.kill();
      result.took(flock.until(LIMIT, () -> flock.allBelieve(one, false)));
      flock.run(FORGET_AFTER + 5 * SECOND);
      for (One other : flock.all()) {
        if (other.running()
            && other.fleet().view().members().stream()
                .anyMatch(member -> member.name().equals(one.name))) {
          result.broken.add(other.name + " still remembers " + one.name);
        }
      }
    }

    @Override
    Settings fitting(Settings settings) {
      return settings.withTombstoneRetention(FORGET_AFTER);
    }
  },

  /** Half of all datagrams come twice, and one in ten six seconds late, while some restart. */
  OLD_DATAGRAMS {
    @Override
    void play(Flock flock, Result result) {
      RandomStreams.Stream jitter = flock.stream();
      Disturbance old =
          new Disturbance() {
            @Override
            public double doublesDatagrams(Machine from, Machine to) {
              return 0.5;
            }

            @Override
            public long delay(Machine from, Machine to) {
              return jitter.chance(0.1) ? 6 * SECOND : 0;
            }

            @Override
            public boolean touches(Machine from, Machine to) {
              return true;
            }
          };
      flock.fabric().begin(old);
      for (int i = 0; i < 6; i++) {
        One one = living(flock);
        one.kill();
        flock.run(SECOND);
        one.start();
        flock.run(4 * SECOND);
      }
      flock.fabric().end(old);
      flock.run(6 * SECOND);
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  },

  /** Goodbyes while three of ten datagrams are lost. */
  LEAVE_IN_LOSS {
    @Override
    void play(Flock flock, Result result) {
      Disturbance loss =
          new Disturbance() {
            @Override
            public double losesDatagrams(Machine from, Machine to) {
              return 0.3;
            }
          };
      flock.fabric().begin(loss);
      LEAVE.play(flock, result);
      flock.fabric().end(loss);
    }
  },

  /** One runs for 50 of each 500 ms: it must not blame the others. */
  STARVED {
    @Override
    void play(Flock flock, Result result) {
      One one = living(flock);
      for (int i = 0; i < 60; i++) {
        one.stop(450 * Agenda.MILLI);
        flock.run(500 * Agenda.MILLI);
      }
      flock.run(SECOND);
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  },

  /**
   * One hears nobody for five seconds: its own health is what makes it slow to blame the others.
   */
  DEAF {
    @Override
    void play(Flock flock, Result result) {
      One one = flock.all().get(1);
      flock.cut((a, b) -> number(b) == 1);
      flock.run(5 * SECOND);
      result.blamed = (int) one.fleet().membership().counters().suspicions();
      flock.heal();
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  },

  /** All but one are killed, and start again ten seconds later, at once. */
  ALL_BUT_ONE {
    @Override
    void play(Flock flock, Result result) {
      List<One> rest = new ArrayList<>(flock.all());
      One left = flock.stream().pick(rest);
      rest.remove(left);
      rest.forEach(One::kill);
      result.took(flock.until(LIMIT, flock::allTrue));
      flock.run(10 * SECOND);
      rest.forEach(One::start);
      result.took(flock.until(LIMIT, flock::allTrue));
    }
  };

  /** In {@link #FORGET}, for so long the dead are remembered. */
  static final long FORGET_AFTER = 20 * Agenda.SECOND;

  private static final long SECOND = Agenda.SECOND;
  private static final long LIMIT = 40 * SECOND;

  /** Where all look for others. */
  private static final int SEEDS = 3;

  /** What came of a play. */
  static final class Result {
    final List<Double> seconds = new ArrayList<>();
    final List<Double> bytes = new ArrayList<>();
    final List<Double> messages = new ArrayList<>();
    final List<String> broken = new ArrayList<>();
    int falseDeaths;
    String firstFalse = "";
    int never;

    /** Suspicions that a member had that was ill itself. */
    int blamed;

    /** Views in which a member died that was only stopped. */
    int stoppedDeaths;

    void took(long micros) {
      if (micros < 0) {
        never++;
      } else {
        seconds.add(micros / (double) SECOND);
      }
    }
  }

  abstract void play(Flock flock, Result result);

  /** Plays it on a flock that has grown and settled. */
  Result play(long seed, int members, Settings settings, UnaryOperator<Network> wrapping) {
    Flock flock = new Flock(seed, members + 8, settings, wrapping);
    Result result = new Result();
    List<One> first = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      first.add(flock.add());
    }
    flock.seeds(first.subList(0, Math.min(SEEDS, members)).toArray(new One[0]));
    for (One one : first) {
      one.start();
      flock.run(flock.stream().micros(0, 2 * SECOND / members));
    }
    if (flock.until(LIMIT, flock::allTrue) < 0) {
      result.broken.add("the flock did not come together");
    }
    flock.run(5 * SECOND);
    flock.alarm(
        (now, by, of) -> {
          if (result.falseDeaths++ == 0) {
            result.firstFalse = String.format("%.2f s: %s of %s", now / 1e6, by, of);
          }
        });
    play(flock, result);
    result.broken.addAll(flock.broken());
    result.stoppedDeaths = flock.stoppedDeaths();
    return result;
  }

  /** The settings as the scene needs them. */
  Settings fitting(Settings settings) {
    return settings;
  }

  private static One living(Flock flock) {
    List<One> living = flock.all().stream().filter(One::running).toList();
    return flock.stream().pick(living);
  }

  private static int number(Machine machine) {
    return Integer.parseInt(machine.name().substring(1));
  }

  private static void halves(Flock flock, Result result, long length) {
    int size = flock.all().size();
    flock.cut((a, b) -> (number(a) * 7 < size * 3) != (number(b) * 7 < size * 3));
    flock.run(length);
    flock.heal();
    result.took(flock.until(LIMIT, flock::allTrue));
  }

  private static void stops(Flock flock, Result result, long length) {
    for (int i = 0; i < 6; i++) {
      One one = living(flock);
      one.stop(length);
      flock.run(length);
      result.took(flock.until(LIMIT, flock::allTrue));
      flock.run(3 * SECOND);
    }
  }

  private static void rough(Flock flock, double loss, long late, long longestStop) {
    RandomStreams.Stream jitter = flock.stream();
    Disturbance rough =
        new Disturbance() {
          @Override
          public double losesDatagrams(Machine from, Machine to) {
            return loss;
          }

          @Override
          public double doublesDatagrams(Machine from, Machine to) {
            return 0.05;
          }

          @Override
          public long delay(Machine from, Machine to) {
            return jitter.micros(0, late);
          }
        };
    flock.fabric().begin(rough);
    for (int i = 0; i < 12; i++) {
      if (longestStop > 0) {
        living(flock).stop(jitter.micros(longestStop / 10, longestStop));
      }
      flock.run(4 * SECOND);
    }
    flock.fabric().end(rough);
  }
}
