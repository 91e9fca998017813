package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * No cold host is pushed over: it fell, and two thirds of what pushed it came from proxies that
 * knew of its start. Nor do these ask it, all together, for more than a share of what it bears: its
 * budget is the fleet's, and nobody may rest on luck.
 */
final class NoColdHostOverload extends Rule {
  private static final double MAX_INFORMED_SHARE = 2.0 / 3;

  /** The worst seen in each of 141 plays: 0.25 or less in all but one, 0.55 there. */
  private static final double MAX_LOAD_SHARE = 0.8;

  NoColdHostOverload() {
    super("no cold host pushed over");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.HostFellOver fell && fell.told() >= MAX_INFORMED_SHARE) {
      reportBreach(now, fell.host() + " fell over while it was cold");
    } else if (event instanceof Event.ColdHostAsked asked && asked.share() > MAX_LOAD_SHARE) {
      reportBreach(
          now,
          asked.host()
              + " is asked for "
              + Math.round(100 * asked.share())
              + "% of what it bears while it is cold, by all proxies together");
    }
  }
}
