package brassbank.sim.experiment;

import brassbank.sim.fault.Plan;

/**
 * One way in which the seeds are played.
 *
 * @param fleetMode what the proxies do together
 */
public record Variant(Plan.FleetMode fleetMode, int proxies, int hosts, double rate) {
  /** Its name in tables and files. */
  public String text() {
    return fleetMode.key() + " " + proxies + "x" + hosts;
  }
}
