package brassbank.sim.check;

import brassbank.sim.event.Event;

/** A planned stop is done before the kill, and ends with status 0. */
final class PlannedShutdown extends Rule {
  PlannedShutdown() {
    super("a planned stop is done before the kill");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.ProxyKilled killed && killed.overdue()) {
      reportBreach(now, killed.proxy() + " was still there when SIGKILL came");
    } else if (event instanceof Event.ProxyExited exited && exited.status() != 0) {
      reportBreach(now, exited.proxy() + " ended with status " + exited.status());
    }
  }
}
