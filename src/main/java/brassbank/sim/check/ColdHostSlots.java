package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * Limits the attempts that a cold host receives from all proxies together. Within the window that
 * decides on its failure, the proxies to which discovery had reported its start send it at most its
 * budget and one attempt each; docs/shares.md has the proof. Attempts are counted where they
 * arrive.
 */
final class ColdHostSlots extends Rule {
  /**
   * Tolerated ratio of the budget that proxies estimate to the budget that the host itself knows:
   * proxies estimate how long sessions live and how much load they add. Measured, after one attempt
   * for each proxy is deducted: 1.3 where clients arrived three times as fast as hosts could take
   * them, and 3.4 where each proxy used the whole budget for itself.
   */
  private static final double ESTIMATE_FACTOR = 2;

  private final Checks.RuleParameters figures;

  ColdHostSlots(Checks.RuleParameters figures) {
    super("a cold host's places, of all proxies together");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.ColdHostAsked asked) {
      double maxAttempts = figures.proxies() + ESTIMATE_FACTOR * asked.bears();
      if (asked.placed() > maxAttempts) {
        reportBreach(
            now,
            asked.host()
                + " was sent "
                + asked.placed()
                + " attempts while it is cold, and "
                + (int) maxAttempts
                + " are allowed");
      }
    }
  }
}
