package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * A planned shutdown completes before the process is killed, and the process exits with status 0.
 */
final class PlannedShutdown extends Rule {
  PlannedShutdown() {
    super("a planned stop is done before the kill");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.ProxyKilled killed && killed.overdue()) {
      reportBreach(now, killed.proxy() + " was still running when it was sent SIGKILL");
    } else if (event instanceof Event.ProxyExited exited && exited.status() != 0) {
      reportBreach(now, exited.proxy() + " ended with status " + exited.status());
    }
  }
}
