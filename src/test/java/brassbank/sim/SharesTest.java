package brassbank.sim;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.net.Network;
import brassbank.shares.LeaseMessage;
import brassbank.sim.check.Breach;
import brassbank.sim.event.Event;
import brassbank.sim.fault.Plan;
import brassbank.sim.fault.Script;
import brassbank.sim.members.TamperedLeaseNetwork;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Complete proxies that divide the fleet's budgets among the live members, in virtual time, under
 * all rules.
 */
class SharesTest {
  private static final Path SCRIPTS = Path.of("src/test/resources/lab-shares");

  private static List<Breach> breaches(Plan plan, UnaryOperator<Network> wrapping) {
    return new SimulationRun(plan, wrapping).execute().breaches();
  }

  /**
   * Returns the breaches of a run that continues past the rule on a cold host's calls, which the
   * same bug breaks earlier.
   */
  private static List<Breach> breachesPastColdHostCalls(
      Plan plan, UnaryOperator<Network> wrapping) {
    return new SimulationRun(plan, wrapping)
        .execute(breach -> !breach.rule().startsWith("a cold host's calls"))
        .breaches();
  }

  @Test
  void holdsAllRulesInTheLabsScripts() throws Exception {
    List<Plan> plans = new ArrayList<>();
    try (Stream<Path> files = Files.list(SCRIPTS)) {
      for (Path file : files.sorted().toList()) {
        plans.add(Script.read(file));
      }
    }
    assertThat(plans).hasSizeGreaterThan(6).allMatch(Plan::sharesBudgets);
    assertThat(
            plans.parallelStream()
                .flatMap(plan -> breaches(plan, UnaryOperator.identity()).stream())
                .toList())
        .isEmpty();
  }

  @Test
  void holdsAllRulesAgainstDrawnFaults() {
    assertThat(
            Stream.iterate(1L, seed -> seed + 1)
                .limit(8)
                .map(
                    seed ->
                        Plan.drawn(
                            seed,
                            Plan.DEFAULT_SECONDS,
                            5,
                            Plan.DEFAULT_HOSTS,
                            Plan.DEFAULT_CLIENTS_PER_SECOND))
                .toList()
                .parallelStream()
                .flatMap(
                    plan ->
                        breaches(plan.with(Plan.FleetMode.SHARES), UnaryOperator.identity())
                            .stream())
                .toList())
        .isEmpty();
  }

  /**
   * A complete fleet has the same budgets as one that takes them from its settings files: the
   * statistics of both runs are identical.
   */
  @Test
  void changesNothingWhileAllMembersAreLive() {
    Plan plan =
        Plan.drawn(1, Plan.DEFAULT_SECONDS, 5, Plan.DEFAULT_HOSTS, Plan.DEFAULT_CLIENTS_PER_SECOND)
            .with(List.of());
    SimulationRun members =
        new SimulationRun(plan.with(Plan.FleetMode.MEMBERS), UnaryOperator.identity());
    SimulationRun shares =
        new SimulationRun(plan.with(Plan.FleetMode.SHARES), UnaryOperator.identity());
    assertThat(shares.execute().service().summary())
        .isEqualTo(members.execute().service().summary());
  }

  /** Forged lease answers let each proxy take itself for the only one with a rank lease. */
  @Test
  void catchesLeasesThatNoGrantorKeeps() throws Exception {
    Plan plan = Script.read(Path.of("src/test/resources/lab-planted/shares.toml"));
    assertThat(breaches(plan, UnaryOperator.identity())).isEmpty();
    assertThat(
            breachesPastColdHostCalls(
                plan,
                real ->
                    new TamperedLeaseNetwork(real, "simulated") {
                      @Override
                      protected LeaseMessage tamperIncomingLease(LeaseMessage message) {
                        return null;
                      }

                      @Override
                      protected LeaseMessage forgeReplies(InetSocketAddress to, LeaseMessage sent) {
                        if (sent.kind() != LeaseMessage.Kind.ASK) {
                          return null;
                        }
                        int rank = to.getAddress().getAddress()[3] - 1;
                        BitSet alone = new BitSet();
                        alone.set(sent.rank());
                        return new LeaseMessage(
                            LeaseMessage.Kind.HELD,
                            rank + 7,
                            rank,
                            sent.rankCount(),
                            sent.sequence(),
                            alone);
                      }
                    }))
        .extracting(Breach::rule)
        .contains("a cold host's places, of all proxies together");
  }

  private static List<String> drainBreaches(List<String> events, UnaryOperator<Network> wrapping)
      throws Exception {
    SimulationRun run =
        new SimulationRun(Script.read(SCRIPTS.resolve("two-are-sent-away-at-once.toml")), wrapping);
    run.trace()
        .addListener(
            (now, event) -> {
              if (event instanceof Event.ProxyOnStandby || event instanceof Event.ProxyPutOff) {
                events.add(event.text());
              }
            });
    return run.execute().breaches().stream().map(Breach::rule).toList();
  }

  @Test
  void oneProxyAtATimeDrainsOnOperatorsCalls() throws Exception {
    List<String> events = new ArrayList<>();
    assertThat(drainBreaches(events, UnaryOperator.identity())).isEmpty();
    assertThat(events)
        .containsExactly(
            "proxy-on-standby proxy=n1", "proxy-put-off proxy=n3", "proxy-put-off proxy=n4");
  }

  /** Grantors give a drain permit to every proxy. */
  @Test
  void catchesTwoHoldersOfOneDrainPermit() throws Exception {
    assertThat(
            drainBreaches(
                new ArrayList<>(),
                real ->
                    new TamperedLeaseNetwork(real, "simulated") {
                      @Override
                      protected LeaseMessage tamperIncomingLease(LeaseMessage message) {
                        return message.kind() == LeaseMessage.Kind.LEAVE ? null : message;
                      }

                      @Override
                      protected LeaseMessage forgeReplies(InetSocketAddress to, LeaseMessage sent) {
                        int rank = to.getAddress().getAddress()[3] - 1;
                        return sent.kind() != LeaseMessage.Kind.LEAVE
                            ? null
                            : new LeaseMessage(
                                LeaseMessage.Kind.GO,
                                rank + 7,
                                rank,
                                sent.rankCount(),
                                sent.sequence(),
                                new BitSet());
                      }
                    }))
        .contains("one at a time leaves by operators' calls");
  }
}
