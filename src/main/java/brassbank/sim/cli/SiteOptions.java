package brassbank.sim.cli;

import brassbank.cli.UsageException;
import brassbank.sim.fault.FleetScenario;
import brassbank.sim.fault.Plan;
import picocli.CommandLine.Option;

/** Options that describe the simulated site, shared by the commands for virtual and real time. */
public final class SiteOptions {
  private static final int MAX_MACHINES = 250;

  @Option(
      names = "--seconds",
      paramLabel = "N",
      defaultValue = "" + Plan.DEFAULT_SECONDS,
      description = "Seconds of each run (default: ${DEFAULT-VALUE}).")
  private int seconds;

  @Option(
      names = "--proxies",
      paramLabel = "N",
      description = "Proxies (default: " + Plan.DEFAULT_PROXIES + ").")
  private Integer proxies;

  @Option(
      names = "--hosts",
      paramLabel = "N",
      description = "Stream hosts (default: " + Plan.DEFAULT_HOSTS + ").")
  private Integer hosts;

  @Option(
      names = "--rate",
      paramLabel = "N",
      description = "New clients a second (default: " + Plan.DEFAULT_CLIENTS_PER_SECOND + ").")
  private Double rate;

  @Option(
      names = "--night",
      paramLabel = "KIND",
      description =
          "In place of drawn faults a night of a large fleet: ${COMPLETION-CANDIDATES}"
              + " (14 proxies, 60 hosts, 28 clients a second if they are not given).")
  private FleetScenario scenario;

  @Option(
      names = "--membership",
      description = "The proxies keep a view of the fleet, under further rules.")
  private boolean membership;

  @Option(
      names = "--shares",
      description = "They share the fleet's budgets by who is there besides.")
  private boolean shares;

  @Option(names = "--subsets", description = "Each asks a part of the hosts besides.")
  private boolean subsets;

  /** Returns whether a fleet scenario is requested. */
  public boolean scenario() {
    return scenario != null;
  }

  /** Returns whether any option sets the number of machines or the rate of clients. */
  public boolean hasSize() {
    return proxies != null || hosts != null || rate != null;
  }

  /** Returns whether the proxies are to cooperate. */
  public boolean usesFleetMode() {
    return fleetMode() != Plan.FleetMode.NONE;
  }

  /**
   * Checks the options.
   *
   * @throws UsageException if a value is out of range or there are more than {@code maxProxies}
   */
  public void validate(int maxProxies) {
    require(seconds >= Plan.MIN_SECONDS, "--seconds must be " + Plan.MIN_SECONDS + " or more");
    require(proxies() >= 1 && proxies() <= maxProxies, "--proxies must be from 1 to " + maxProxies);
    require(hosts() >= 1 && hosts() <= MAX_MACHINES, "--hosts must be from 1 to " + MAX_MACHINES);
    require(rate() > 0 && rate() <= 1_000, "--rate must be above 0 and at most 1000");
  }

  /** Returns the plan of a seed: the requested scenario, or randomly drawn faults. */
  public Plan plan(long seed) {
    Plan plan =
        scenario == null
            ? Plan.drawn(seed, seconds, proxies(), hosts(), rate())
            : scenario.plan(seed, seconds, proxies(), hosts(), rate());
    return plan.with(fleetMode());
  }

  private Plan.FleetMode fleetMode() {
    return subsets
        ? Plan.FleetMode.SUBSETS
        : shares
            ? Plan.FleetMode.SHARES
            : membership ? Plan.FleetMode.MEMBERS : Plan.FleetMode.NONE;
  }

  private int proxies() {
    return proxies != null ? proxies : scenario() ? FleetScenario.PROXIES : Plan.DEFAULT_PROXIES;
  }

  private int hosts() {
    return hosts != null ? hosts : scenario() ? FleetScenario.HOSTS : Plan.DEFAULT_HOSTS;
  }

  private double rate() {
    return rate != null
        ? rate
        : scenario() ? FleetScenario.CLIENTS_PER_SECOND : Plan.DEFAULT_CLIENTS_PER_SECOND;
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new UsageException(message);
    }
  }
}
