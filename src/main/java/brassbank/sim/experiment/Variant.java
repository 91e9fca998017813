package brassbank.sim.experiment;

import brassbank.sim.fault.Plan;

/**
 * One way in which the seeds are played.
 *
 * @param view what the proxies do together
 */
public record Variant(Plan.View view, int proxies, int hosts, double rate) {
  /** Its name in tables and files. */
  public String text() {
    return view.key() + " " + proxies + "x" + hosts;
  }
}
