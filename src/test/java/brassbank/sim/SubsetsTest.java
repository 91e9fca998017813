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

/** Whole proxies each of which asks a part of the hosts, in virtual time, under all rules. */
class SubsetsTest {
  private static final UnaryOperator<Network> AS_IT_IS = UnaryOperator.identity();

  /** A calm fleet in which each host is asked by eight of sixteen, and has room. */
  private static final Plan CALM =
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

  /** The hard cases of shares among them, on as many hosts as make a subset. */
  @Test
  void holdsAllRulesInTheLabsScripts() throws Exception {
    List<Plan> plans = scripts("lab-subsets");
    for (Plan plan : scripts("lab-shares")) {
      plans.add(plan.withHosts(24));
    }
    assertThat(plans).hasSizeGreaterThan(10);
    assertThat(
            plans.parallelStream()
                .flatMap(plan -> new SimulationRun(plan, AS_IT_IS).execute().breaches().stream())
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
                        new SimulationRun(plan.with(Plan.FleetMode.SUBSETS), AS_IT_IS)
                            .execute().breaches().stream())
                .toList())
        .isEmpty();
  }

  /** A file with another number than the others have: all ask all. */
  @Test
  void catchesHostsThatAllAsk() {
    assertThat(broken(new SimulationRun(CALM, AS_IT_IS))).isEmpty();
    assertThat(
            broken(
                new SimulationRun(
                    CALM, AS_IT_IS, told -> told, joining -> joining.withMinProxiesPerHost(1_000))))
        .containsOnly("a host is asked by few, with subsets");
  }

  /** Proxies that take the other zone for theirs. */
  @Test
  void catchesSubsetsOfAnotherZone() {
    UnaryOperator<Site> turned =
        site -> site.withZones(List.of(site.zones().get(1), site.zones().get(0)));
    assertThat(broken(new SimulationRun(CALM, AS_IT_IS, turned)))
        .contains("a subset costs nobody his place");
  }
}
