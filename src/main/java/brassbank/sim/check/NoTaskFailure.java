package brassbank.sim.check;

import brassbank.sim.event.Event;

/** No part of the proxy fails: what its loop would only log here ends the run. */
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
