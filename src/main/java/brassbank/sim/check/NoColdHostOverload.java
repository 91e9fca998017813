package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * No cold host fails under overload when two thirds or more of the load came from proxies to which
 * discovery had reported its start. Nor may these proxies together ask for more than a fixed share
 * of what a cold host withstands, so that a missing bound on the fleet's budget is found even where
 * the host survives.
 */
final class NoColdHostOverload extends Rule {
  private static final double MAX_INFORMED_SHARE = 2.0 / 3;

  /** The maximum over a run was 0.25 or less in 140 of 141 runs, and 0.55 in the other. */
  private static final double MAX_LOAD_SHARE = 0.8;

  NoColdHostOverload() {
    super("no cold host pushed over");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.HostFellOver fell && fell.told() >= MAX_INFORMED_SHARE) {
      reportBreach(now, fell.host() + " failed under overload while it was cold");
    } else if (event instanceof Event.ColdHostAsked asked && asked.share() > MAX_LOAD_SHARE) {
      reportBreach(
          now,
          asked.host()
              + " is asked for "
              + Math.round(100 * asked.share())
              + "% of what it withstands while it is cold, by all proxies together");
    }
  }
}
