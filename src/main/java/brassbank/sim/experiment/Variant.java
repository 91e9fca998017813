package brassbank.sim.experiment;

import brassbank.sim.fault.Plan;

/**
 * A configuration of the fleet in which the seeds are run.
 *
 * @param fleetMode how the proxies cooperate
 */
public record Variant(Plan.FleetMode fleetMode, int proxies, int hosts, double rate) {
  /** Returns the name used in tables and files. */
  public String text() {
    return fleetMode.key() + " " + proxies + "x" + hosts;
  }
}
