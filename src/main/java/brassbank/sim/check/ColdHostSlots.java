package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * A cold host's places are the fleet's: in the time that counts for its fall all proxies that know
 * of its start send it no more attempts than a budget and one each (docs/shares.md has the proof).
 * Counted where they arrive.
 */
final class ColdHostSlots extends Rule {
  /**
   * What proxies take the host's budget for, over what the host knows it to be: they guess how long
   * sessions live and how much they ask. Seen, less one for each proxy: 1.3 where clients came
   * three times as fast as hosts could take them; with a budget that each takes for his own, 3.4.
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
      double most = figures.proxies() + ESTIMATE_FACTOR * asked.bears();
      if (asked.placed() > most) {
        reportBreach(
            now,
            asked.host()
                + " was sent "
                + asked.placed()
                + " attempts while it is cold, and "
                + (int) most
                + " are allowed");
      }
    }
  }
}
