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

/** Scenes on fleets of members, and bugs planted in all of them. */
class MembershipScenarioTest {
  private static final int MEMBERS = 14;

  /** What one scene comes to with and without a bug, over a few seeds. */
  private record Sum(double most, int never, int falseDeaths, List<String> broken) {}

  @BeforeEach
  void quiet() {
    Log.setThreadSink(event -> {});
  }

  @AfterEach
  void loud() {
    Log.setThreadSink(null);
  }

  private static Sum played(
      MembershipScenario scene, Settings settings, UnaryOperator<Network> bug) {
    double most = 0;
    int never = 0;
    int falseDeaths = 0;
    List<String> broken = new ArrayList<>();
    List<MembershipScenario.Result> results =
        IntStream.rangeClosed(1, 3)
            .parallel()
            .mapToObj(seed -> quietly(() -> scene.play(seed, MEMBERS, settings, bug)))
            .toList();
    for (MembershipScenario.Result result : results) {
      most =
          Math.max(
              most,
              result.convergenceSeconds.isEmpty() ? 0 : Collections.max(result.convergenceSeconds));
      never += result.unconverged;
      falseDeaths += result.falseDeaths;
      broken.addAll(result.violations);
    }
    return new Sum(most, never, falseDeaths, broken);
  }

  private static MembershipScenario.Result quietly(Supplier<MembershipScenario.Result> play) {
    Log.setThreadSink(event -> {});
    return play.get();
  }

  private static Sum sound(MembershipScenario scene) {
    return played(scene, scene.adjust(Settings.DEFAULTS), UnaryOperator.identity());
  }

  @ParameterizedTest
  @EnumSource
  void viewsFollowTheTruth(MembershipScenario scene) {
    Sum sum = sound(scene);
    assertThat(sum.broken()).isEmpty();
    assertThat(sum.never()).isZero();
    if (scene != MembershipScenario.STORM) {
      assertThat(sum.falseDeaths()).isZero();
    }
    double bound =
        switch (scene) {
          case CRASH -> 2.6;
          case JOIN, LEAVE, RESTART -> 1.0;
          case ALL_BUT_ONE -> 16;
          default -> 4.0;
        };
    assertThat(sum.most()).isLessThan(bound);
  }

  // ------------------------------------------------------------ planted bugs

  @Test
  void catchesASuspicionThatNeverEnds() {
    Sum sum =
        played(
            MembershipScenario.CRASH,
            Settings.DEFAULTS.withMinSuspicion(3_600_000_000L),
            UnaryOperator.identity());
    assertThat(sum.never()).isPositive();
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

  /** Whoever refutes says so with the incarnation that it had. */
  private static final class RefutesInVain extends TamperedNetwork {
    RefutesInVain(Network real) {
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
  void catchesARefutationThatRaisesNothing() {
    Sum sum = played(MembershipScenario.CUT, Settings.DEFAULTS, RefutesInVain::new);
    assertThat(sum.never()).isPositive();
  }

  /** The file's addresses are of those that are gone: only who remembers the dead finds them. */
  @Test
  void catchesTheDeadForgottenTooSoon() {
    assertThat(sound(MembershipScenario.CUT_WITHOUT_SEEDS).never()).isZero();
    Sum sum =
        played(
            MembershipScenario.CUT_WITHOUT_SEEDS,
            Settings.DEFAULTS.withTombstoneRetention(2_000_000),
            UnaryOperator.identity());
    assertThat(sum.never()).isPositive();
  }

  @Test
  void catchesTheDeadThatAreNeverForgotten() {
    assertThat(
            played(MembershipScenario.FORGET, Settings.DEFAULTS, UnaryOperator.identity()).broken())
        .isNotEmpty();
  }

  /** What is old is told as if it were new. */
  private static final class BelievesTheOld extends TamperedNetwork {
    private final Map<String, Incarnation> highest = new HashMap<>();

    BelievesTheOld(Network real) {
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
  void catchesAnOldIncarnationThatIsBelieved() {
    Sum sum = played(MembershipScenario.OLD_DATAGRAMS, Settings.DEFAULTS, BelievesTheOld::new);
    assertThat(sound(MembershipScenario.OLD_DATAGRAMS).broken()).isEmpty();
    assertThat(sum.never() + sum.broken().size()).isPositive();
  }

  @Test
  void catchesNewsThatIsToldOnce() {
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
    double sound = sound(MembershipScenario.LEAVE_IN_LOSS).most();
    double told = played(MembershipScenario.LEAVE_IN_LOSS, once, UnaryOperator.identity()).most();
    assertThat(sound).isLessThan(1.5);
    assertThat(told).isGreaterThan(1.5);
  }

  /** The own health is what makes one that hears nobody slow to blame the others. */
  @Test
  void catchesTheOwnHealthIgnored() {
    Settings proud =
        new Settings(
            Settings.DEFAULTS.probeIntervalTicks(),
            Settings.DEFAULTS.minProbeTimeoutMicros(),
            Settings.DEFAULTS.minSuspicionMicros(),
            Settings.DEFAULTS.maxSuspicionMultiplier(),
            Settings.DEFAULTS.retransmitMultiplier(),
            0,
            Settings.DEFAULTS.tombstoneRetentionMicros(),
            Settings.DEFAULTS.settleMicros());
    int humble = 0;
    int blames = 0;
    for (int seed = 1; seed <= 3; seed++) {
      humble +=
          MembershipScenario.DEAF.play(seed, MEMBERS, Settings.DEFAULTS, UnaryOperator.identity())
              .suspicions;
      blames +=
          MembershipScenario.DEAF.play(seed, MEMBERS, proud, UnaryOperator.identity()).suspicions;
    }
    assertThat(humble * 3).as("of %d without", blames).isLessThan(blames * 2);
  }

  /** Two processes share a name by mistake: one is the member, the other knows that it is none. */
  @Test
  void oneOfTwoOfTheSameNameGivesWayAndNobodyFlaps() {
    int[] warnings = new int[2];
    SimulatedCluster flock =
        new SimulatedCluster(1, MEMBERS + 1, Settings.DEFAULTS, UnaryOperator.identity());
    for (int i = 0; i < MEMBERS; i++) {
      flock.add();
    }
    flock.seeds(flock.members().get(0));
    flock.members().forEach(SimulatedCluster.SimulatedMember::start);
    flock.run(6_000_000);
    SimulatedCluster.SimulatedMember one = flock.members().get(5);
    SimulatedCluster.SimulatedMember twin = flock.addDuplicate(one);
    Log.setThreadSink(
        event -> {
          if (event.name().equals("name-taken")) {
            warnings[flock.fabric().runningProgram().machine() == one.machine ? 0 : 1]++;
          }
        });
    int[] changes = {0};
    twin.start();
    flock
        .members()
        .get(2)
        .fleet()
        .addListener(
            change -> {
              if (change.after() != null && change.after().name().equals(one.name)) {
                changes[0]++;
              }
            });
    flock.run(120_000_000);
    boolean first = one.fleet().view().displaced();
    assertThat(first).isNotEqualTo(twin.fleet().view().displaced());
    SimulatedCluster.SimulatedMember member = first ? twin : one;
    for (SimulatedCluster.SimulatedMember other : flock.members()) {
      if (other != one && other != twin) {
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
  void catchesAGoodbyeThatIsTakenForADeath() {
    Sum sum =
        played(
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
