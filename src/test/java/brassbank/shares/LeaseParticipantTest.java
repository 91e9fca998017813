package brassbank.shares;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import brassbank.shares.wire.LeaseCodec;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets of processes in bad weather: what all of them may spend together, at each millisecond. */
class LeaseParticipantTest {
  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  private static final LeaseSettings USUAL = LeaseSettings.withBaseShare(0.25);

  private record Datagram(long at, int from, int to, byte[] bytes) {}

  /** A fleet on a network that loses, delays, doubles and cuts, whose processes stop and die. */
  private static final class Weather {
    private final SplittableRandom random;
    private final LeaseSettings settings;
    private final LeaseCodec codec = new LeaseCodec("leith");
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final PriorityQueue<Datagram> way =
        new PriorityQueue<>(Comparator.comparingLong(Datagram::at));
    private final LeaseParticipant[] processes;
    private final BudgetShare[] parts;
    private final long[] away;
    private final long[] clients;
    private final int[] perBeat;
    private final boolean[] dead;
    private final boolean[] wants;
    private final long[][] cutUntil;
    private long now = 7 * SECOND;
    private double most;
    private boolean calm;
    private boolean mild;
    private int stops;

    Weather(long seed, int fleet, LeaseSettings settings) throws Exception {
      random = new SplittableRandom(seed);
      this.settings = settings;
      processes = new LeaseParticipant[fleet];
      parts = new BudgetShare[fleet];
      away = new long[fleet];
      clients = new long[fleet];
      perBeat = new int[fleet];
      dead = new boolean[fleet];
      wants = new boolean[fleet];
      cutUntil = new long[fleet][fleet];
      for (int i = 0; i < fleet; i++) {
        addresses.add(
            new InetSocketAddress(
                InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) (i + 1)}), 7070));
        start(i);
      }
    }

    private void start(int i) {
      processes[i] = new LeaseParticipant(settings, i, processes.length, random.nextLong(), now);
      parts[i] = null;
      dead[i] = false;
      wants[i] = true;
    }

    private List<InetSocketAddress> others(int i) {
      List<InetSocketAddress> others = new ArrayList<>(addresses);
      others.remove(i);
      return others;
    }

    private LeaseOutbox from(int i) {
      return (to, message) -> {
        int other = addresses.indexOf(to);
        for (int copies = calm || random.nextInt(20) > 0 ? 1 : 2; copies > 0; copies--) {
          long late = calm ? MILLI : (long) (400 * MILLI * Math.pow(random.nextDouble(), 3));
          if (cutUntil[i][other] <= now && (calm || random.nextInt(10) > 0)) {
            way.add(new Datagram(now + late, i, other, codec.encode(message)));
          }
        }
      };
    }

    /** One millisecond goes by. */
    void step() throws Exception {
      now += MILLI;
      if (!calm) {
        fault();
      }
      while (!way.isEmpty() && way.peek().at() <= now) {
        Datagram one = way.remove();
        if (dead[one.to()]) {
          continue;
        }
        if (away[one.to()] > now) {
          // Its kernel keeps it.
          way.add(new Datagram(away[one.to()], one.from(), one.to(), one.bytes()));
          continue;
        }
        processes[one.to()].receive(
            now, addresses.get(one.from()), codec.decode(one.bytes()), from(one.to()));
        parts[one.to()] = processes[one.to()].share(now);
      }
      double sum = 0;
      for (int i = 0; i < processes.length; i++) {
        if (dead[i] || away[i] > now) {
          continue;
        }
        // One that goes on places before it hears or looks at anything but its clock.
        BudgetShare part = parts[i];
        sum +=
            part == null
                ? 0
                : now < part.leaseEndMicros() || !part.hasLease()
                    ? part.fraction()
                    : part.baseFraction();
        if ((now / MILLI + i * 37) % 100 == 0) {
          clients[i] += perBeat[i];
          processes[i].recordClients(now, clients[i]);
          processes[i].tick(now, wants[i], others(i), from(i));
          parts[i] = processes[i].share(now);
        }
      }
      most = Math.max(most, sum);
    }

    private void fault() {
      int i = random.nextInt(processes.length);
      int j = random.nextInt(processes.length);
      int what = random.nextInt(4_000);
      if (mild) {
        // Seats are held most of the time, and what they weigh changes.
        if (what == 0) {
          away[i] = now + random.nextLong(2 * SECOND);
          stops++;
        } else if (what < 3) {
          cutUntil[i][j] = now + random.nextLong(3 * SECOND);
        } else if (what < 5) {
          perBeat[i] = random.nextInt(3) == 0 ? 40 : 1;
        }
      } else if (what < 3) {
        away[i] = now + random.nextLong(6 * SECOND);
        stops++;
      } else if (what < 4) {
        dead[i] = true;
      } else if (what < 14 && dead[i]) {
        start(i);
      } else if (what < 17) {
        wants[i] = !wants[i];
      } else if (what < 25 && i != j) {
        cutUntil[i][j] = now + random.nextLong(6 * SECOND);
      } else if (what == 3_999) {
        long until = now + random.nextLong(8 * SECOND);
        for (int a = 0; a < processes.length; a++) {
          for (int b = 0; b < processes.length; b++) {
            if (a % 2 != b % 2) {
              cutUntil[a][b] = until;
            }
          }
        }
      }
    }

    double used() {
      double sum = 0;
      for (int i = 0; i < processes.length; i++) {
        sum += dead[i] || parts[i] == null ? 0 : parts[i].fraction();
      }
      return sum;
    }

    void calm(long micros) throws Exception {
      calm = true;
      for (long[] row : cutUntil) {
        java.util.Arrays.fill(row, 0);
      }
      for (long until = now + micros; now < until; ) {
        step();
      }
    }
  }

  private static double worst(int seeds, int fleet, UnaryOperator<LeaseSettings> planted)
      throws Exception {
    double most = 0;
    for (int seed = 1; seed <= seeds; seed++) {
      Weather weather = new Weather(seed, fleet, planted.apply(USUAL));
      while (weather.now < 67 * SECOND) {
        weather.step();
      }
      assertThat(weather.stops).isPositive();
      most = Math.max(most, weather.most);
    }
    return most;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 5, 9, 17})
  void allTogetherSpendNoMoreThanTheBudgetInAnyWeather(int fleet) throws Exception {
    assertThat(worst(20, fleet, usual -> usual)).isLessThanOrEqualTo(1 + 1e-9);
  }

  @Test
  void aSeatThatIsForgottenBeforeItsNextAskingIsFound() throws Exception {
    double most =
        worst(
            60,
            3,
            usual ->
                new LeaseSettings(
                    usual.baseShare(),
                    usual.renewalMicros(),
                    usual.validityMicros(),
                    100 * MILLI,
                    usual.activationMicros(),
                    usual.weightWindowMicros()));
    assertThat(most).isGreaterThan(1.01);
  }

  /**
   * Three keepers. The first process loses the second keeper and finds the third in time; the other
   * has asked the third just before, and asks the second just after.
   *
   * @return whether the other counts the first, while both spend
   */
  private static boolean countsOneThatWanders(long holds) {
    LeaseSettings settings =
        new LeaseSettings(
            USUAL.baseShare(),
            USUAL.renewalMicros(),
            USUAL.validityMicros(),
            holds,
            USUAL.activationMicros(),
            USUAL.weightWindowMicros());
    LeaseGrantor[] keepers = new LeaseGrantor[3];
    for (int k = 0; k < 3; k++) {
      keepers[k] = new LeaseGrantor(holds, -10 * SECOND);
    }
    RankLease first = new RankLease(settings, 3);
    RankLease other = new RankLease(settings, 3);
    for (long at = 0; at <= 4_400; at += 50) {
      if (at % 300 == 0) {
        ask(first, 0, 0, keepers, at);
      }
      if (at % 300 == 0 && at <= 3_000) {
        ask(first, 0, 1, keepers, at);
      }
      if (at == 4_100) {
        ask(first, 0, 2, keepers, at);
      }
      if (at % 300 == 150) {
        ask(other, 1, 1, keepers, at);
      }
      if (at % 300 == 150 && at <= 4_050) {
        ask(other, 1, 2, keepers, at);
      }
    }
    assertThat(first.spends(4_400 * MILLI)).isTrue();
    assertThat(other.spends(4_400 * MILLI)).isTrue();
    return other.counted(4_400 * MILLI).get(0);
  }

  private static void ask(
      RankLease seat, int rank, int keeper, LeaseGrantor[] keepers, long millis) {
    long now = millis * MILLI;
    assertThat(keepers[keeper].hold(now, rank, rank, 1, 4, 0)).isTrue();
    BitSet seats = keepers[keeper].seats(now);
    seat.held(
        now, keeper, now, new LeaseMessage(LeaseMessage.Kind.HELD, keeper, keeper, 3, 1, seats));
  }

  @Test
  void aSeatMustBeHeldForLongerThanTwoAnswersCount() {
    assertThat(countsOneThatWanders(USUAL.validityMicros())).isFalse();
    assertThat(countsOneThatWanders(USUAL.grantMicros())).isTrue();
  }

  @Test
  void aNewcomerThatSpendsAtOnceIsFound() throws Exception {
    double most =
        worst(
            40,
            3,
            usual ->
                new LeaseSettings(
                    usual.baseShare(),
                    usual.renewalMicros(),
                    usual.validityMicros(),
                    usual.grantMicros(),
                    0,
                    usual.weightWindowMicros()));
    assertThat(most).isGreaterThan(1.01);
  }

  @Test
  void aCalmFleetUsesAllOfItsBudgetAndADeadOnesPartIsBackWithinFiveSeconds() throws Exception {
    Weather weather = new Weather(1, 14, USUAL);
    weather.calm(10 * SECOND);
    assertThat(weather.used()).isCloseTo(1, within(1e-9));
    weather.dead[3] = true;
    weather.dead[4] = true;
    weather.calm(5 * SECOND);
    // What is left unused is the base of those who are not there.
    assertThat(weather.used()).isCloseTo(1 - 2 * USUAL.baseShare() / 14, within(1e-9));
    weather.start(3);
    weather.start(4);
    weather.calm(5 * SECOND);
    assertThat(weather.used()).isCloseTo(1, within(1e-9));
  }

  /** Processes that live long enough to know what they need, which changes all the time. */
  private static double worstOfMild(int fleet, long weighs) throws Exception {
    double most = 0;
    for (int seed = 1; seed <= 20; seed++) {
      LeaseSettings settings =
          new LeaseSettings(
              USUAL.baseShare(),
              USUAL.renewalMicros(),
              USUAL.validityMicros(),
              USUAL.grantMicros(),
              USUAL.activationMicros(),
              weighs);
      Weather weather = new Weather(seed, fleet, settings);
      weather.mild = true;
      while (weather.now < 87 * SECOND) {
        weather.step();
      }
      most = Math.max(most, weather.most);
    }
    return most;
  }

  @Test
  void weightsThatChangeAddUpInAnyWeather() throws Exception {
    assertThat(worstOfMild(3, USUAL.weightWindowMicros())).isLessThanOrEqualTo(1 + 1e-9);
    assertThat(worstOfMild(7, USUAL.weightWindowMicros())).isLessThanOrEqualTo(1 + 1e-9);
  }

  /** With the newest weight in place of the least that others may still count. */
  @Test
  void aWeightThatIsSpentAtOnceIsFound() throws Exception {
    assertThat(worstOfMild(3, USUAL.renewalMicros() + 1)).isGreaterThan(1.01);
  }

  @Test
  void whoHasManyTimesTheClientsHasUpToFourTimesTheUsualWeight() throws Exception {
    Weather weather = new Weather(1, 14, USUAL);
    java.util.Arrays.fill(weather.perBeat, 1);
    weather.calm(20 * SECOND);
    assertThat(weather.parts[5].fraction()).isCloseTo(1 / 14.0, within(1e-9));
    weather.perBeat[5] = 8;
    weather.calm(25 * SECOND);
    // Thirteen weigh four each, as usual, and one sixteen.
    assertThat(weather.parts[5].fraction())
        .isCloseTo(0.25 / 14 + 0.75 * 16 / (13 * 4 + 16), within(1e-9));
    assertThat(weather.used()).isCloseTo(1, within(1e-9));
    weather.perBeat[5] = 1;
    weather.calm(25 * SECOND);
    assertThat(weather.parts[5].fraction()).isCloseTo(1 / 14.0, within(1e-9));
    assertThat(weather.most).isLessThanOrEqualTo(1 + 1e-9);
  }

  @Test
  void whoLeavesGivesItsSeatBackAtOnce() throws Exception {
    Weather weather = new Weather(1, 5, USUAL);
    weather.calm(10 * SECOND);
    weather.wants[2] = false;
    weather.calm(SECOND / 2);
    assertThat(weather.parts[0].participants()).isEqualTo(4);
    assertThat(weather.parts[2].hasLease()).isFalse();
  }

  @Test
  void whoIsCutOffFallsBackToTheBaseWithinAnAnswersTime() throws Exception {
    Weather weather = new Weather(1, 7, USUAL);
    weather.calm(10 * SECOND);
    weather.calm = true;
    for (int a = 0; a < 7; a++) {
      for (int b = 0; b < 7; b++) {
        weather.cutUntil[a][b] = a < 3 == b < 3 ? 0 : Long.MAX_VALUE;
      }
    }
    for (int i = 0; i < 1_400; i++) {
      weather.step();
    }
    assertThat(weather.parts[0].fraction()).isCloseTo(0.25 / 7, within(1e-9));
    for (int i = 0; i < 2_600; i++) {
      weather.step();
    }
    assertThat(weather.parts[6].fraction()).isCloseTo(0.25 / 7 + 0.75 / 4, within(1e-9));
    assertThat(weather.most).isLessThanOrEqualTo(1 + 1e-9);
  }

  private static DrainPermit asked(Weather weather, int process) {
    return weather.processes[process].pollDrainPermit(
        weather.now, weather.others(process), weather.from(process));
  }

  private static DrainPermit ask(Weather weather, int process) {
    return weather.processes[process].requestDrainPermit(
        weather.now, weather.others(process), weather.from(process));
  }

  @Test
  void oneLeavesAtATimeAndIsToldOfOnlyWhileItDoes() throws Exception {
    Weather weather = new Weather(1, 5, USUAL);
    weather.calm(10 * SECOND);
    ask(weather, 1);
    weather.calm(SECOND / 10);
    assertThat(asked(weather, 1)).isEqualTo(DrainPermit.GO);
    weather.wants[1] = false;
    assertThat(ask(weather, 3)).isEqualTo(new DrainPermit(DrainPermit.Status.OTHER_DRAINS, 1));
    weather.calm(5 * SECOND);
    ask(weather, 3);
    weather.calm(SECOND / 10);
    assertThat(asked(weather, 3)).isEqualTo(DrainPermit.GO);
  }

  @Test
  void nobodyLeavesWhereTooFewCouldCarryIt() throws Exception {
    Weather weather = new Weather(1, 5, USUAL);
    weather.dead[3] = true;
    weather.dead[4] = true;
    weather.calm(10 * SECOND);
    assertThat(ask(weather, 0).status()).isEqualTo(DrainPermit.Status.TOO_FEW_LEASES);
    weather.dead[2] = true;
    weather.calm(5 * SECOND);
    assertThat(ask(weather, 0).status()).isEqualTo(DrainPermit.Status.NO_MAJORITY);
  }

  /** It hears the others only after it has gone on, when the turn may be another's. */
  @Test
  void whoIsStoppedWhileItAsksDoesNotLeaveAfterwards() throws Exception {
    Weather weather = new Weather(1, 5, USUAL);
    weather.calm(10 * SECOND);
    ask(weather, 1);
    weather.away[1] = weather.now + 10 * SECOND;
    weather.calm(9 * SECOND);
    ask(weather, 2);
    weather.calm(SECOND / 10);
    assertThat(asked(weather, 2)).isEqualTo(DrainPermit.GO);
    weather.calm(2 * SECOND);
    assertThat(asked(weather, 1).status()).isEqualTo(DrainPermit.Status.NO_MAJORITY);
  }

  /** In any weather two that are let go are at least as far apart as a leaving takes. */
  @Test
  void twoThatAreLetGoAreFourSecondsApartInAnyWeather() throws Exception {
    int let = 0;
    for (int seed = 1; seed <= 40; seed++) {
      Weather weather = new Weather(seed, 5, USUAL);
      long last = 0;
      int leaver = -1;
      while (weather.now < 127 * SECOND) {
        weather.step();
        int i = weather.random.nextInt(5);
        if (!weather.dead[i] && weather.away[i] <= weather.now) {
          DrainPermit leave = asked(weather, i);
          if (leave == null && weather.random.nextInt(100) == 0) {
            ask(weather, i);
          } else if (leave == DrainPermit.GO) {
            // One that is let go may ask again: the turn is its own.
            if (i != leaver) {
              assertThat(weather.now - last).isGreaterThan(4 * SECOND);
            }
            last = weather.now;
            leaver = i;
            let++;
          }
        }
      }
    }
    assertThat(let).isGreaterThan(10);
  }

  /** What a keeper of rank 0 answers to one of rank 2, after these have come to it from rank 1. */
  private static LeaseMessage answered(LeaseMessage.Kind asks, LeaseMessage.Kind... came)
      throws Exception {
    long now = 20 * SECOND;
    LeaseParticipant keeper = new LeaseParticipant(USUAL, 0, 5, 70, now - 10 * SECOND);
    InetSocketAddress one =
        new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, 0, 0, 2}), 7070);
    InetSocketAddress other =
        new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, 0, 0, 3}), 7070);
    List<LeaseMessage> said = new ArrayList<>();
    // The first asks and gives back, and then asks anew; what it gave back comes once more, late.
    int[] sequences = {3, 3, 4, 3};
    for (int i = 0; i < came.length; i++) {
      keeper.receive(
          now + i,
          one,
          new LeaseMessage(came[i], 71, 1, 5, sequences[i], new BitSet()),
          (to, message) -> {});
    }
    keeper.receive(
        now + came.length,
        other,
        new LeaseMessage(asks, 72, 2, 5, 9, new BitSet()),
        (to, message) -> said.add(message));
    return said.get(0);
  }

  @Test
  void aSeatThatIsTakenAgainIsNotGivenBackByALateDatagram() throws Exception {
    LeaseMessage answer =
        answered(
            LeaseMessage.Kind.ASK,
            LeaseMessage.Kind.ASK,
            LeaseMessage.Kind.GIVE_BACK,
            LeaseMessage.Kind.ASK,
            LeaseMessage.Kind.GIVE_BACK);
    assertThat(answer.ranks().get(1)).isTrue();
    answer = answered(LeaseMessage.Kind.ASK, LeaseMessage.Kind.ASK, LeaseMessage.Kind.GIVE_BACK);
    assertThat(answer.ranks().get(1)).isFalse();
  }

  @Test
  void aTurnThatIsTakenAgainIsNotGivenBackByALateDatagram() throws Exception {
    LeaseMessage answer =
        answered(
            LeaseMessage.Kind.LEAVE,
            LeaseMessage.Kind.LEAVE,
            LeaseMessage.Kind.STAYS,
            LeaseMessage.Kind.LEAVE,
            LeaseMessage.Kind.STAYS);
    assertThat(answer.kind()).isEqualTo(LeaseMessage.Kind.OTHER_LEAVES);
    answer = answered(LeaseMessage.Kind.LEAVE, LeaseMessage.Kind.LEAVE, LeaseMessage.Kind.STAYS);
    assertThat(answer.kind()).isEqualTo(LeaseMessage.Kind.GO);
  }

  /** Whatever comes is read or refused, and nothing that is read is beyond its bounds. */
  @Test
  void readsAnythingWithoutFailing() {
    SplittableRandom random = new SplittableRandom(5);
    LeaseCodec codec = new LeaseCodec("leith");
    BitSet seats = new BitSet();
    seats.set(3);
    byte[] good = codec.encode(new LeaseMessage(LeaseMessage.Kind.HELD, 7, 2, 14, 9, seats));
    int read = 0;
    for (int i = 0; i < 200_000; i++) {
      byte[] bytes = good.clone();
      int at = 3 + random.nextInt(bytes.length - 7);
      bytes[at] = (byte) random.nextInt(256);
      java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
      sum.update(bytes, 0, bytes.length - 4);
      java.nio.ByteBuffer.wrap(bytes).putInt(bytes.length - 4, (int) sum.getValue());
      if (random.nextInt(4) == 0) {
        bytes = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length + 40));
      }
      try {
        LeaseMessage message = codec.decode(bytes);
        assertThat(message.rank()).isBetween(0, message.rankCount() - 1);
        assertThat(message.ranks().length()).isLessThanOrEqualTo(message.rankCount());
        read++;
      } catch (brassbank.membership.wire.InvalidDatagramException e) {
        assertThat(e.reason()).isNotNull();
      }
    }
    assertThat(read).isBetween(10_000, 190_000);
  }
}
