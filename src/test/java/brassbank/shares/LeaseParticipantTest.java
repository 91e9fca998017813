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

/** Checks each millisecond what all processes of a fleet may spend together, under faults. */
class LeaseParticipantTest {
  private static final long MILLI_MICROS = 1_000;
  private static final long SECOND_MICROS = 1_000_000;
  private static final LeaseSettings DEFAULTS = LeaseSettings.withBaseShare(0.25);

  private record Datagram(long at, int from, int to, byte[] bytes) {}

  /**
   * A fleet whose network loses, delays, duplicates and partitions, and whose processes are paused,
   * stopped and restarted.
   */
  private static final class FaultyNetwork {
    private final SplittableRandom random;
    private final LeaseSettings settings;
    private final LeaseCodec codec = new LeaseCodec("leith");
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final PriorityQueue<Datagram> inFlight =
        new PriorityQueue<>(Comparator.comparingLong(Datagram::at));
    private final LeaseParticipant[] processes;
    private final BudgetShare[] shares;
    private final long[] pausedUntil;
    private final long[] clients;
    private final int[] clientsPerTick;
    private final boolean[] stopped;
    private final boolean[] wantsLease;
    private final long[][] partitionedUntil;
    private long now = 7 * SECOND_MICROS;
    private double maxTotalShare;
    private boolean faultFree;
    private boolean mildFaults;
    private int pauses;

    FaultyNetwork(long seed, int fleet, LeaseSettings settings) throws Exception {
      random = new SplittableRandom(seed);
      this.settings = settings;
      processes = new LeaseParticipant[fleet];
      shares = new BudgetShare[fleet];
      pausedUntil = new long[fleet];
      clients = new long[fleet];
      clientsPerTick = new int[fleet];
      stopped = new boolean[fleet];
      wantsLease = new boolean[fleet];
      partitionedUntil = new long[fleet][fleet];
      for (int i = 0; i < fleet; i++) {
        addresses.add(
            new InetSocketAddress(
                InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) (i + 1)}), 7070));
        start(i);
      }
    }

    private void start(int i) {
      processes[i] = new LeaseParticipant(settings, i, processes.length, random.nextLong(), now);
      shares[i] = null;
      stopped[i] = false;
      wantsLease[i] = true;
    }

    private List<InetSocketAddress> others(int i) {
      List<InetSocketAddress> others = new ArrayList<>(addresses);
      others.remove(i);
      return others;
    }

    private LeaseOutbox outboxOf(int i) {
      return (to, message) -> {
        int other = addresses.indexOf(to);
        for (int copies = faultFree || random.nextInt(20) > 0 ? 1 : 2; copies > 0; copies--) {
          long delay =
              faultFree
                  ? MILLI_MICROS
                  : (long) (400 * MILLI_MICROS * Math.pow(random.nextDouble(), 3));
          if (partitionedUntil[i][other] <= now && (faultFree || random.nextInt(10) > 0)) {
            inFlight.add(new Datagram(now + delay, i, other, codec.encode(message)));
          }
        }
      };
    }

    /** Advances the fleet by one millisecond. */
    void step() throws Exception {
      now += MILLI_MICROS;
      if (!faultFree) {
        injectFault();
      }
      while (!inFlight.isEmpty() && inFlight.peek().at() <= now) {
        Datagram datagram = inFlight.remove();
        if (stopped[datagram.to()]) {
          continue;
        }
        if (pausedUntil[datagram.to()] > now) {
          // The kernel of a paused process buffers the datagram.
          inFlight.add(
              new Datagram(
                  pausedUntil[datagram.to()], datagram.from(), datagram.to(), datagram.bytes()));
          continue;
        }
        processes[datagram.to()].receive(
            now,
            addresses.get(datagram.from()),
            codec.decode(datagram.bytes()),
            outboxOf(datagram.to()));
        shares[datagram.to()] = processes[datagram.to()].share(now);
      }
      double sum = 0;
      for (int i = 0; i < processes.length; i++) {
        if (stopped[i] || pausedUntil[i] > now) {
          continue;
        }
        // A resumed process may place sessions by its old share, having read only its clock.
        BudgetShare share = shares[i];
        sum +=
            share == null
                ? 0
                : now < share.leaseEndMicros() || !share.hasLease()
                    ? share.fraction()
                    : share.baseFraction();
        if ((now / MILLI_MICROS + i * 37) % 100 == 0) {
          clients[i] += clientsPerTick[i];
          processes[i].recordClients(now, clients[i]);
          processes[i].tick(now, wantsLease[i], others(i), outboxOf(i));
          shares[i] = processes[i].share(now);
        }
      }
      maxTotalShare = Math.max(maxTotalShare, sum);
    }

    private void injectFault() {
      int i = random.nextInt(processes.length);
      int j = random.nextInt(processes.length);
      int fault = random.nextInt(4_000);
      if (mildFaults) {
        // Few enough faults that most leases are held, while their weights change.
        if (fault == 0) {
          pausedUntil[i] = now + random.nextLong(2 * SECOND_MICROS);
          pauses++;
        } else if (fault < 3) {
          partitionedUntil[i][j] = now + random.nextLong(3 * SECOND_MICROS);
        } else if (fault < 5) {
          clientsPerTick[i] = random.nextInt(3) == 0 ? 40 : 1;
        }
      } else if (fault < 3) {
        pausedUntil[i] = now + random.nextLong(6 * SECOND_MICROS);
        pauses++;
      } else if (fault < 4) {
        stopped[i] = true;
      } else if (fault < 14 && stopped[i]) {
        start(i);
      } else if (fault < 17) {
        wantsLease[i] = !wantsLease[i];
      } else if (fault < 25 && i != j) {
        partitionedUntil[i][j] = now + random.nextLong(6 * SECOND_MICROS);
      } else if (fault == 3_999) {
        long until = now + random.nextLong(8 * SECOND_MICROS);
        for (int a = 0; a < processes.length; a++) {
          for (int b = 0; b < processes.length; b++) {
            if (a % 2 != b % 2) {
              partitionedUntil[a][b] = until;
            }
          }
        }
      }
    }

    double totalShare() {
      double sum = 0;
      for (int i = 0; i < processes.length; i++) {
        sum += stopped[i] || shares[i] == null ? 0 : shares[i].fraction();
      }
      return sum;
    }

    void runFaultFree(long micros) throws Exception {
      faultFree = true;
      for (long[] row : partitionedUntil) {
        java.util.Arrays.fill(row, 0);
      }
      for (long until = now + micros; now < until; ) {
        step();
      }
    }
  }

  private static double maxTotalShare(int seeds, int fleet, UnaryOperator<LeaseSettings> change)
      throws Exception {
    double max = 0;
    for (int seed = 1; seed <= seeds; seed++) {
      FaultyNetwork network = new FaultyNetwork(seed, fleet, change.apply(DEFAULTS));
      while (network.now < 67 * SECOND_MICROS) {
        network.step();
      }
      assertThat(network.pauses).isPositive();
      max = Math.max(max, network.maxTotalShare);
    }
    return max;
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 5, 9, 17})
  void totalShareStaysWithinTheBudgetUnderFaults(int fleet) throws Exception {
    assertThat(maxTotalShare(20, fleet, defaults -> defaults)).isLessThanOrEqualTo(1 + 1e-9);
  }

  @Test
  void detectsGrantThatExpiresBeforeItsRenewal() throws Exception {
    double max =
        maxTotalShare(
            60,
            3,
            defaults ->
                new LeaseSettings(
                    defaults.baseShare(),
                    defaults.renewalMicros(),
                    defaults.validityMicros(),
                    100 * MILLI_MICROS,
                    defaults.activationMicros(),
                    defaults.weightWindowMicros()));
    assertThat(max).isGreaterThan(1.01);
  }

  /**
   * Simulates three grantors. The first process loses the second grantor and reaches the third in
   * time; the other process has asked the third just before, and asks the second just after.
   *
   * @return whether the other process counts the first while both spend their shares
   */
  private static boolean countsProcessThatChangesGrantors(long grantMicros) {
    LeaseSettings settings =
        new LeaseSettings(
            DEFAULTS.baseShare(),
            DEFAULTS.renewalMicros(),
            DEFAULTS.validityMicros(),
            grantMicros,
            DEFAULTS.activationMicros(),
            DEFAULTS.weightWindowMicros());
    LeaseGrantor[] grantors = new LeaseGrantor[3];
    for (int k = 0; k < 3; k++) {
      grantors[k] = new LeaseGrantor(grantMicros, -10 * SECOND_MICROS);
    }
    RankLease first = new RankLease(settings, 3);
    RankLease other = new RankLease(settings, 3);
    for (long at = 0; at <= 4_400; at += 50) {
      if (at % 300 == 0) {
        requestLease(first, 0, 0, grantors, at);
      }
      if (at % 300 == 0 && at <= 3_000) {
        requestLease(first, 0, 1, grantors, at);
      }
      if (at == 4_100) {
        requestLease(first, 0, 2, grantors, at);
      }
      if (at % 300 == 150) {
        requestLease(other, 1, 1, grantors, at);
      }
      if (at % 300 == 150 && at <= 4_050) {
        requestLease(other, 1, 2, grantors, at);
      }
    }
    assertThat(first.isActive(4_400 * MILLI_MICROS)).isTrue();
    assertThat(other.isActive(4_400 * MILLI_MICROS)).isTrue();
    return other.leasedRanks(4_400 * MILLI_MICROS).get(0);
  }

  private static void requestLease(
      RankLease lease, int rank, int grantor, LeaseGrantor[] grantors, long millis) {
    long now = millis * MILLI_MICROS;
    assertThat(grantors[grantor].grantLease(now, rank, rank, 1, 4, 0)).isTrue();
    BitSet ranks = grantors[grantor].leasedRanks(now);
    lease.addGrant(
        now, grantor, now, new LeaseMessage(LeaseMessage.Kind.HELD, grantor, grantor, 3, 1, ranks));
  }

  @Test
  void grantMustOutlastTwoValidityPeriods() {
    assertThat(countsProcessThatChangesGrantors(DEFAULTS.validityMicros())).isFalse();
    assertThat(countsProcessThatChangesGrantors(DEFAULTS.grantMicros())).isTrue();
  }

  @Test
  void detectsNewLeaseThatIsSpentWithoutDelay() throws Exception {
    double max =
        maxTotalShare(
            40,
            3,
            defaults ->
                new LeaseSettings(
                    defaults.baseShare(),
                    defaults.renewalMicros(),
                    defaults.validityMicros(),
                    defaults.grantMicros(),
                    0,
                    defaults.weightWindowMicros()));
    assertThat(max).isGreaterThan(1.01);
  }

  @Test
  void faultFreeFleetUsesItsWholeBudgetAndReclaimsAStoppedProcessShareWithinFiveSeconds()
      throws Exception {
    FaultyNetwork network = new FaultyNetwork(1, 14, DEFAULTS);
    network.runFaultFree(10 * SECOND_MICROS);
    assertThat(network.totalShare()).isCloseTo(1, within(1e-9));
    network.stopped[3] = true;
    network.stopped[4] = true;
    network.runFaultFree(5 * SECOND_MICROS);
    // Only the base shares of the two stopped processes remain unused.
    assertThat(network.totalShare()).isCloseTo(1 - 2 * DEFAULTS.baseShare() / 14, within(1e-9));
    network.start(3);
    network.start(4);
    network.runFaultFree(5 * SECOND_MICROS);
    assertThat(network.totalShare()).isCloseTo(1, within(1e-9));
  }

  /** Runs processes long enough that they know their demand, while the demand keeps changing. */
  private static double maxTotalShareWithMildFaults(int fleet, long weightWindowMicros)
      throws Exception {
    double max = 0;
    for (int seed = 1; seed <= 20; seed++) {
      LeaseSettings settings =
          new LeaseSettings(
              DEFAULTS.baseShare(),
              DEFAULTS.renewalMicros(),
              DEFAULTS.validityMicros(),
              DEFAULTS.grantMicros(),
              DEFAULTS.activationMicros(),
              weightWindowMicros);
      FaultyNetwork network = new FaultyNetwork(seed, fleet, settings);
      network.mildFaults = true;
      while (network.now < 87 * SECOND_MICROS) {
        network.step();
      }
      max = Math.max(max, network.maxTotalShare);
    }
    return max;
  }

  @Test
  void changingWeightsStayWithinTheBudgetUnderFaults() throws Exception {
    assertThat(maxTotalShareWithMildFaults(3, DEFAULTS.weightWindowMicros()))
        .isLessThanOrEqualTo(1 + 1e-9);
    assertThat(maxTotalShareWithMildFaults(7, DEFAULTS.weightWindowMicros()))
        .isLessThanOrEqualTo(1 + 1e-9);
  }

  /** The newest weight is used instead of the lowest that other processes may still count. */
  @Test
  void detectsIncreasedWeightThatIsSpentWithoutDelay() throws Exception {
    assertThat(maxTotalShareWithMildFaults(3, DEFAULTS.renewalMicros() + 1)).isGreaterThan(1.01);
  }

  @Test
  void processWithManyMoreClientsHasUpToFourTimesTheDefaultWeight() throws Exception {
    FaultyNetwork network = new FaultyNetwork(1, 14, DEFAULTS);
    java.util.Arrays.fill(network.clientsPerTick, 1);
    network.runFaultFree(20 * SECOND_MICROS);
    assertThat(network.shares[5].fraction()).isCloseTo(1 / 14.0, within(1e-9));
    network.clientsPerTick[5] = 8;
    network.runFaultFree(25 * SECOND_MICROS);
    // Thirteen processes have the default weight of four, and one has sixteen.
    assertThat(network.shares[5].fraction())
        .isCloseTo(0.25 / 14 + 0.75 * 16 / (13 * 4 + 16), within(1e-9));
    assertThat(network.totalShare()).isCloseTo(1, within(1e-9));
    network.clientsPerTick[5] = 1;
    network.runFaultFree(25 * SECOND_MICROS);
    assertThat(network.shares[5].fraction()).isCloseTo(1 / 14.0, within(1e-9));
    assertThat(network.maxTotalShare).isLessThanOrEqualTo(1 + 1e-9);
  }

  @Test
  void drainingProcessReleasesItsLeaseAtOnce() throws Exception {
    FaultyNetwork network = new FaultyNetwork(1, 5, DEFAULTS);
    network.runFaultFree(10 * SECOND_MICROS);
    network.wantsLease[2] = false;
    network.runFaultFree(SECOND_MICROS / 2);
    assertThat(network.shares[0].participants()).isEqualTo(4);
    assertThat(network.shares[2].hasLease()).isFalse();
  }

  @Test
  void partitionedProcessFallsBackToTheBaseShareWithinTheValidityPeriod() throws Exception {
    FaultyNetwork network = new FaultyNetwork(1, 7, DEFAULTS);
    network.runFaultFree(10 * SECOND_MICROS);
    network.faultFree = true;
    for (int a = 0; a < 7; a++) {
      for (int b = 0; b < 7; b++) {
        network.partitionedUntil[a][b] = a < 3 == b < 3 ? 0 : Long.MAX_VALUE;
      }
    }
    for (int i = 0; i < 1_400; i++) {
      network.step();
    }
    assertThat(network.shares[0].fraction()).isCloseTo(0.25 / 7, within(1e-9));
    for (int i = 0; i < 2_600; i++) {
      network.step();
    }
    assertThat(network.shares[6].fraction()).isCloseTo(0.25 / 7 + 0.75 / 4, within(1e-9));
    assertThat(network.maxTotalShare).isLessThanOrEqualTo(1 + 1e-9);
  }

  private static DrainPermit pollPermit(FaultyNetwork network, int process) {
    return network.processes[process].pollDrainPermit(
        network.now, network.others(process), network.outboxOf(process));
  }

  private static DrainPermit requestPermit(FaultyNetwork network, int process) {
    return network.processes[process].requestDrainPermit(
        network.now, network.others(process), network.outboxOf(process));
  }

  @Test
  void oneProcessDrainsAtATimeAndIsNamedOnlyWhileItsPermitLasts() throws Exception {
    FaultyNetwork network = new FaultyNetwork(1, 5, DEFAULTS);
    network.runFaultFree(10 * SECOND_MICROS);
    requestPermit(network, 1);
    network.runFaultFree(SECOND_MICROS / 10);
    assertThat(pollPermit(network, 1)).isEqualTo(DrainPermit.GRANTED);
    network.wantsLease[1] = false;
    assertThat(requestPermit(network, 3))
        .isEqualTo(new DrainPermit(DrainPermit.Status.OTHER_DRAINS, 1));
    network.runFaultFree(5 * SECOND_MICROS);
    requestPermit(network, 3);
    network.runFaultFree(SECOND_MICROS / 10);
    assertThat(pollPermit(network, 3)).isEqualTo(DrainPermit.GRANTED);
  }

  @Test
  void permitIsRefusedWhenTooFewProcessesHaveALease() throws Exception {
    FaultyNetwork network = new FaultyNetwork(1, 5, DEFAULTS);
    network.stopped[3] = true;
    network.stopped[4] = true;
    network.runFaultFree(10 * SECOND_MICROS);
    assertThat(requestPermit(network, 0).status()).isEqualTo(DrainPermit.Status.TOO_FEW_LEASES);
    network.stopped[2] = true;
    network.runFaultFree(5 * SECOND_MICROS);
    assertThat(requestPermit(network, 0).status()).isEqualTo(DrainPermit.Status.NO_MAJORITY);
  }

  /** The answers arrive only after the process has resumed, when another may hold the permit. */
  @Test
  void processPausedDuringItsRequestGetsNoPermitAfterwards() throws Exception {
    FaultyNetwork network = new FaultyNetwork(1, 5, DEFAULTS);
    network.runFaultFree(10 * SECOND_MICROS);
    requestPermit(network, 1);
    network.pausedUntil[1] = network.now + 10 * SECOND_MICROS;
    network.runFaultFree(9 * SECOND_MICROS);
    requestPermit(network, 2);
    network.runFaultFree(SECOND_MICROS / 10);
    assertThat(pollPermit(network, 2)).isEqualTo(DrainPermit.GRANTED);
    network.runFaultFree(2 * SECOND_MICROS);
    assertThat(pollPermit(network, 1).status()).isEqualTo(DrainPermit.Status.NO_MAJORITY);
  }

  /** Two grants to different processes are at least as far apart as a drain takes. */
  @Test
  void permitsOfTwoProcessesAreFourSecondsApartUnderFaults() throws Exception {
    int granted = 0;
    for (int seed = 1; seed <= 40; seed++) {
      FaultyNetwork network = new FaultyNetwork(seed, 5, DEFAULTS);
      long lastGrantAt = 0;
      int holder = -1;
      while (network.now < 127 * SECOND_MICROS) {
        network.step();
        int i = network.random.nextInt(5);
        if (!network.stopped[i] && network.pausedUntil[i] <= network.now) {
          DrainPermit permit = pollPermit(network, i);
          if (permit == null && network.random.nextInt(100) == 0) {
            requestPermit(network, i);
          } else if (permit == DrainPermit.GRANTED) {
            // The holder may request the permit again.
            if (i != holder) {
              assertThat(network.now - lastGrantAt).isGreaterThan(4 * SECOND_MICROS);
            }
            lastGrantAt = network.now;
            holder = i;
            granted++;
          }
        }
      }
    }
    assertThat(granted).isGreaterThan(10);
  }

  /** Returns the answer of a grantor of rank 0 to rank 2, after the given messages of rank 1. */
  private static LeaseMessage grantorAnswer(LeaseMessage.Kind request, LeaseMessage.Kind... earlier)
      throws Exception {
    long now = 20 * SECOND_MICROS;
    LeaseParticipant grantor = new LeaseParticipant(DEFAULTS, 0, 5, 70, now - 10 * SECOND_MICROS);
    InetSocketAddress first =
        new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, 0, 0, 2}), 7070);
    InetSocketAddress second =
        new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, 0, 0, 3}), 7070);
    List<LeaseMessage> sent = new ArrayList<>();
    // Rank 1 requests and releases, and requests again; then a copy of its release arrives late.
    int[] sequences = {3, 3, 4, 3};
    for (int i = 0; i < earlier.length; i++) {
      grantor.receive(
          now + i,
          first,
          new LeaseMessage(earlier[i], 71, 1, 5, sequences[i], new BitSet()),
          (to, message) -> {});
    }
    grantor.receive(
        now + earlier.length,
        second,
        new LeaseMessage(request, 72, 2, 5, 9, new BitSet()),
        (to, message) -> sent.add(message));
    return sent.get(0);
  }

  @Test
  void lateReleaseDoesNotEndARenewedLease() throws Exception {
    LeaseMessage answer =
        grantorAnswer(
            LeaseMessage.Kind.ASK,
            LeaseMessage.Kind.ASK,
            LeaseMessage.Kind.GIVE_BACK,
            LeaseMessage.Kind.ASK,
            LeaseMessage.Kind.GIVE_BACK);
    assertThat(answer.ranks().get(1)).isTrue();
    answer =
        grantorAnswer(LeaseMessage.Kind.ASK, LeaseMessage.Kind.ASK, LeaseMessage.Kind.GIVE_BACK);
    assertThat(answer.ranks().get(1)).isFalse();
  }

  @Test
  void lateReleaseDoesNotEndARenewedPermit() throws Exception {
    LeaseMessage answer =
        grantorAnswer(
            LeaseMessage.Kind.LEAVE,
            LeaseMessage.Kind.LEAVE,
            LeaseMessage.Kind.STAYS,
            LeaseMessage.Kind.LEAVE,
            LeaseMessage.Kind.STAYS);
    assertThat(answer.kind()).isEqualTo(LeaseMessage.Kind.OTHER_LEAVES);
    answer =
        grantorAnswer(LeaseMessage.Kind.LEAVE, LeaseMessage.Kind.LEAVE, LeaseMessage.Kind.STAYS);
    assertThat(answer.kind()).isEqualTo(LeaseMessage.Kind.GO);
  }

  /** Any datagram is decoded or rejected, and all decoded fields are within their bounds. */
  @Test
  void decodesOrRejectsAnyDatagram() {
    SplittableRandom random = new SplittableRandom(5);
    LeaseCodec codec = new LeaseCodec("leith");
    BitSet ranks = new BitSet();
    ranks.set(3);
    byte[] valid = codec.encode(new LeaseMessage(LeaseMessage.Kind.HELD, 7, 2, 14, 9, ranks));
    int decoded = 0;
    for (int i = 0; i < 200_000; i++) {
      byte[] bytes = valid.clone();
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
        decoded++;
      } catch (brassbank.membership.wire.InvalidDatagramException e) {
        assertThat(e.reason()).isNotNull();
      }
    }
    assertThat(decoded).isBetween(10_000, 190_000);
  }
}
