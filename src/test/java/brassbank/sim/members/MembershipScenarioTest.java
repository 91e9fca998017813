package brassbank.sim.members;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.log.Log;
import brassbank.membership.Incarnation;
import brassbank.membership.Message;
import brassbank.membership.Settings;
import brassbank.membership.State;
import brassbank.membership.Update;
import brassbank.net.Network;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs scenarios on fleets of members, and checks that they detect injected bugs. */
class MembershipScenarioTest {
  private static final int MEMBERS = 14;

  /** Results of a scenario, with or without a bug, over several seeds. */
  private record Sum(double maxSeconds, int unconverged, int falseDeaths, List<String> broken) {}

  @BeforeEach
  void silenceLog() {
    Log.setThreadSink(event -> {});
  }

  @AfterEach
  void restoreLog() {
    Log.setThreadSink(null);
  }

  private static Sum play(
      MembershipScenario scenario, Settings settings, UnaryOperator<Network> bug) {
    double maxSeconds = 0;
    int unconverged = 0;
    int falseDeaths = 0;
    List<String> broken = new ArrayList<>();
    List<MembershipScenario.Result> results =
        IntStream.rangeClosed(1, 3)
            .parallel()
            .mapToObj(seed -> playWithoutLog(() -> scenario.play(seed, MEMBERS, settings, bug)))
            .toList();
    for (MembershipScenario.Result result : results) {
      maxSeconds =
          Math.max(
              maxSeconds,
              result.convergenceSeconds.isEmpty() ? 0 : Collections.max(result.convergenceSeconds));
      unconverged += result.unconverged;
      falseDeaths += result.falseDeaths;
      broken.addAll(result.violations);
    }
    return new Sum(maxSeconds, unconverged, falseDeaths, broken);
  }

  private static MembershipScenario.Result playWithoutLog(
      Supplier<MembershipScenario.Result> play) {
    Log.setThreadSink(event -> {});
    return play.get();
  }

  private static Sum sound(MembershipScenario scenario) {
    return play(scenario, scenario.adjust(Settings.DEFAULTS), UnaryOperator.identity());
  }

  @ParameterizedTest
  @EnumSource
  void viewsConvergeToTheGroundTruth(MembershipScenario scenario) {
    Sum sum = sound(scenario);
    assertThat(sum.broken()).isEmpty();
    assertThat(sum.unconverged()).isZero();
    if (scenario != MembershipScenario.STORM) {
      assertThat(sum.falseDeaths()).isZero();
    }
    double bound =
        switch (scenario) {
          case CRASH -> 2.6;
          case JOIN, LEAVE, RESTART -> 1.0;
          case ALL_BUT_ONE -> 16;
          default -> 4.0;
        };
    assertThat(sum.maxSeconds()).isLessThan(bound);
  }

  // Injected bugs.

  @Test
  void detectsASuspicionThatNeverExpires() {
    Sum sum =
        play(
            MembershipScenario.CRASH,
            Settings.DEFAULTS.withMinSuspicion(3_600_000_000L),
            UnaryOperator.identity());
    assertThat(sum.unconverged()).isPositive();
  }

  private static Update with(Update one, Incarnation incarnation, State state) {
    return new Update(
        one.name(),
        one.address(),
        one.zone(),
        incarnation,
        state,
        one.activity(),
        one.ageSeconds(),
        one.reportedBy());
  }

  /** Refutes a suspicion without raising the incarnation. */
  private static final class RefutesWithOldIncarnation extends TamperedNetwork {
    RefutesWithOldIncarnation(Network real) {
      super(real, "flock");
    }

    @Override
    protected List<Message> tamperOutgoing(InetSocketAddress to, Message message) {
      return List.of(
          mapUpdates(
              message,
              one -> {
                Incarnation first = new Incarnation(one.incarnation().startTime(), 0);
                return MembershipScenarioTest.with(one, first, one.state());
              }));
    }
  }

  @Test
  void detectsARefutationWithoutANewIncarnation() {
    Sum sum = play(MembershipScenario.CUT, Settings.DEFAULTS, RefutesWithOldIncarnation::new);
    assertThat(sum.unconverged()).isPositive();
  }

  /**
   * The seed addresses belong to stopped members, so only remembered dead members can be contacted.
   */
  @Test
  void detectsTombstonesRemovedTooEarly() {
    assertThat(sound(MembershipScenario.CUT_WITHOUT_SEEDS).unconverged()).isZero();
    Sum sum =
        play(
            MembershipScenario.CUT_WITHOUT_SEEDS,
            Settings.DEFAULTS.withTombstoneRetention(2_000_000),
            UnaryOperator.identity());
    assertThat(sum.unconverged()).isPositive();
  }

  @Test
  void detectsTombstonesThatAreNeverRemoved() {
    assertThat(
            play(MembershipScenario.FORGET, Settings.DEFAULTS, UnaryOperator.identity()).broken())
        .isNotEmpty();
  }

  /** Treats outdated updates as new ones. */
  private static final class AcceptsOldIncarnations extends TamperedNetwork {
    private final Map<String, Incarnation> highest = new HashMap<>();

    AcceptsOldIncarnations(Network real) {
      super(real, "flock");
    }

    @Override
    protected List<Message> tamperIncoming(Message message) {
      return List.of(
          mapUpdates(
              message,
              one -> {
                Incarnation known = highest.merge(one.name(), one.incarnation(), this::later);
                boolean old = one.incarnation().compareTo(known) < 0;
                return old
                    ? MembershipScenarioTest.with(
                        one, new Incarnation(known.startTime(), known.revision() + 1), one.state())
                    : one;
              }));
    }

    private Incarnation later(Incarnation a, Incarnation b) {
      return a.compareTo(b) > 0 ? a : b;
    }
  }

  @Test
  void detectsAcceptanceOfAnOldIncarnation() {
    Sum sum =
        play(MembershipScenario.OLD_DATAGRAMS, Settings.DEFAULTS, AcceptsOldIncarnations::new);
    assertThat(sound(MembershipScenario.OLD_DATAGRAMS).broken()).isEmpty();
    assertThat(sum.unconverged() + sum.broken().size()).isPositive();
  }

  @Test
  void detectsUpdatesThatAreSentOnlyOnce() {
    Settings once =
        new Settings(
            Settings.DEFAULTS.probeIntervalTicks(),
            Settings.DEFAULTS.minProbeTimeoutMicros(),
            Settings.DEFAULTS.minSuspicionMicros(),
            Settings.DEFAULTS.maxSuspicionMultiplier(),
            0,
            Settings.DEFAULTS.maxLocalHealth(),
            Settings.DEFAULTS.tombstoneRetentionMicros(),
            Settings.DEFAULTS.settleMicros());
    double sound = sound(MembershipScenario.LEAVE_IN_LOSS).maxSeconds();
    double buggy =
        play(MembershipScenario.LEAVE_IN_LOSS, once, UnaryOperator.identity()).maxSeconds();
    assertThat(sound).isLessThan(1.5);
    assertThat(buggy).isGreaterThan(1.5);
  }

  /** The local health score slows the suspicions of a member that receives nothing. */
  @Test
  void detectsThatLocalHealthIsIgnored() {
    Settings withoutLocalHealth =
        new Settings(
            Settings.DEFAULTS.probeIntervalTicks(),
            Settings.DEFAULTS.minProbeTimeoutMicros(),
            Settings.DEFAULTS.minSuspicionMicros(),
            Settings.DEFAULTS.maxSuspicionMultiplier(),
            Settings.DEFAULTS.retransmitMultiplier(),
            0,
            Settings.DEFAULTS.tombstoneRetentionMicros(),
            Settings.DEFAULTS.settleMicros());
    int suspicionsWithHealth = 0;
    int suspicionsWithoutHealth = 0;
    for (int seed = 1; seed <= 3; seed++) {
      suspicionsWithHealth +=
          MembershipScenario.DEAF.play(seed, MEMBERS, Settings.DEFAULTS, UnaryOperator.identity())
              .suspicions;
      suspicionsWithoutHealth +=
          MembershipScenario.DEAF.play(seed, MEMBERS, withoutLocalHealth, UnaryOperator.identity())
              .suspicions;
    }
    assertThat(suspicionsWithHealth * 3)
        .as("of %d without", suspicionsWithoutHealth)
        .isLessThan(suspicionsWithoutHealth * 2);
  }

  /**
   * Two processes share a name by mistake: one is the member, the other must detect the conflict.
   */
  @Test
  void oneOfTwoMembersWithTheSameNameYieldsWithoutFlapping() {
    int[] warnings = new int[2];
    SimulatedCluster cluster =
        new SimulatedCluster(1, MEMBERS + 1, Settings.DEFAULTS, UnaryOperator.identity());
    for (int i = 0; i < MEMBERS; i++) {
      cluster.add();
    }
    cluster.seeds(cluster.members().get(0));
    cluster.members().forEach(SimulatedCluster.SimulatedMember::start);
    cluster.run(6_000_000);
    SimulatedCluster.SimulatedMember one = cluster.members().get(5);
    SimulatedCluster.SimulatedMember duplicate = cluster.addDuplicate(one);
    Log.setThreadSink(
        event -> {
          if (event.name().equals("name-taken")) {
            warnings[cluster.fabric().runningProgram().machine() == one.machine ? 0 : 1]++;
          }
        });
    int[] changes = {0};
    duplicate.start();
    cluster
        .members()
        .get(2)
        .fleet()
        .addListener(
            change -> {
              if (change.after() != null && change.after().name().equals(one.name)) {
                changes[0]++;
              }
            });
    cluster.run(120_000_000);
    boolean first = one.fleet().view().displaced();
    assertThat(first).isNotEqualTo(duplicate.fleet().view().displaced());
    SimulatedCluster.SimulatedMember member = first ? duplicate : one;
    for (SimulatedCluster.SimulatedMember other : cluster.members()) {
      if (other != one && other != duplicate) {
        assertThat(other.fleet().view().members())
            .filteredOn(seen -> seen.name().equals(one.name))
            .allMatch(seen -> seen.state() == State.ALIVE)
            .allMatch(seen -> seen.address().getAddress().equals(member.machine.address()));
      }
    }
    assertThat(changes[0]).as("changes that a third one sees in two minutes").isLessThan(10);
    assertThat(warnings[0]).as("warnings of the first").isBetween(1, 9);
    assertThat(warnings[1]).as("warnings of the second").isBetween(1, 9);
  }

  @Test
  void detectsALeaveMessageTreatedAsADeath() {
    Sum sum =
        play(
            MembershipScenario.LEAVE,
            Settings.DEFAULTS,
            real ->
                new TamperedNetwork(real, "flock") {
                  @Override
                  protected List<Message> tamperIncoming(Message message) {
                    return List.of(
                        mapUpdates(
                            message,
                            one ->
                                one.state() == State.LEFT
                                    ? MembershipScenarioTest.with(
                                        one, one.incarnation(), State.DEAD)
                                    : one));
                  }
                });
    assertThat(sum.broken()).isNotEmpty();
  }
}
