package brassbank.sim;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.net.Network;
import brassbank.sim.actor.Site;
import brassbank.sim.check.Breach;
import brassbank.sim.fault.Plan;
import brassbank.sim.fault.Script;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Complete proxies that use a subset of the hosts each, in virtual time, under all rules. */
class SubsetsTest {
  private static final UnaryOperator<Network> UNCHANGED = UnaryOperator.identity();

  /**
   * A fleet without faults in which each host is used by eight of sixteen proxies and has capacity.
   */
  private static final Plan FAULT_FREE =
      Plan.drawn(3, Plan.MIN_SECONDS, 16, 32, 8).with(List.of()).with(Plan.FleetMode.SUBSETS);

  private static List<String> broken(SimulationRun run) {
    return run.execute().breaches().stream().map(Breach::rule).toList();
  }

  private static List<Plan> scripts(String folder) throws Exception {
    List<Plan> plans = new ArrayList<>();
    try (Stream<Path> files = Files.list(Path.of("src/test/resources").resolve(folder))) {
      for (Path file : files.sorted().toList()) {
        plans.add(Script.read(file).with(Plan.FleetMode.SUBSETS));
      }
    }
    return plans;
  }

  /** Includes the scripts of shared budgets, with enough hosts to form a subset. */
  @Test
  void holdsAllRulesInTheLabsScripts() throws Exception {
    List<Plan> plans = scripts("lab-subsets");
    for (Plan plan : scripts("lab-shares")) {
      plans.add(plan.withHosts(24));
    }
    assertThat(plans).hasSizeGreaterThan(10);
    assertThat(
            plans.parallelStream()
                .flatMap(plan -> new SimulationRun(plan, UNCHANGED).execute().breaches().stream())
                .toList())
        .isEmpty();
  }

  @Test
  void holdsAllRulesAgainstDrawnFaults() {
    assertThat(
            LongStream.rangeClosed(1, 8)
                .mapToObj(
                    seed ->
                        Plan.drawn(
                            seed, Plan.DEFAULT_SECONDS, 7, 24, Plan.DEFAULT_CLIENTS_PER_SECOND))
                .toList()
                .parallelStream()
                .flatMap(
                    plan ->
                        new SimulationRun(plan.with(Plan.FleetMode.SUBSETS), UNCHANGED)
                            .execute().breaches().stream())
                .toList())
        .isEmpty();
  }

  /**
   * A settings file with another number of proxies per host than the others have: every proxy uses
   * every host.
   */
  @Test
  void catchesHostsThatAllProxiesUse() {
    assertThat(broken(new SimulationRun(FAULT_FREE, UNCHANGED))).isEmpty();
    assertThat(
            broken(
                new SimulationRun(
                    FAULT_FREE,
                    UNCHANGED,
                    told -> told,
                    joining -> joining.withMinProxiesPerHost(1_000))))
        .containsOnly("a host is asked by few, with subsets");
  }

  /** Proxies are configured with each other's zone. */
  @Test
  void catchesSubsetsOfAnotherZone() {
    UnaryOperator<Site> swapped =
        site -> site.withZones(List.of(site.zones().get(1), site.zones().get(0)));
    assertThat(broken(new SimulationRun(FAULT_FREE, UNCHANGED, swapped)))
        .contains("a subset costs nobody his place");
  }
}
