package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashSet;
import java.util.Set;

/**
 * A cold host gets no more calls within the time that counts for its fall than its budget and what
 * chance may add, whoever sent them: beyond N, twice the root of N and two (STANDING). Counted
 * where they arrive, of proxies that knew of its start.
 */
final class ColdHostCalls extends Rule {
  /** Those that it was broken at since they started. */
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
