package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashSet;
import java.util.Set;

/**
 * Limits the attempts that a cold host receives from all proxies to which discovery had reported
 * its start. Within the window that decides on its failure it receives at most N + 2 sqrt(N) + 2,
 * where N is its budget and the rest allows for chance. Attempts are counted where they arrive.
 */
final class ColdHostCalls extends Rule {
  /** Hosts for which a breach was reported since their last start. */
  private final Set<String> reported = new HashSet<>();

  ColdHostCalls() {
    super("a cold host's calls, of all proxies together");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.HostStarted started) {
      reported.remove(started.host());
    } else if (event instanceof Event.ColdHostAsked asked
        && asked.placed() > maxCalls(asked.bears())
        && reported.add(asked.host())) {
      reportBreach(
          now,
          asked.host()
              + " was sent "
              + asked.placed()
              + " calls while it is cold, and "
              + (int) maxCalls(asked.bears())
              + " are allowed");
    }
  }

  private static double maxCalls(double budget) {
    return budget + 2 * Math.sqrt(budget) + 2;
  }
}
