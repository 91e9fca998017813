package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * No task of the proxy fails: an error that the proxy's event loop would only log is a breach here.
 */
final class NoTaskFailure extends Rule {
  NoTaskFailure() {
    super("no task of the proxy fails");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.ProxyFailed failed) {
      reportBreach(now, failed.proxy() + ": " + failed.text());
    }
  }
}
