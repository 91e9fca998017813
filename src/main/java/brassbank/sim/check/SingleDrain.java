package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * On operators' calls only one proxy at a time drains: for 4 s after a proxy has begun to drain, no
 * other begins. A drain is taken to begin when the proxy accepts the operator's call.
 */
final class SingleDrain extends Rule {
  private static final long DRAIN_MICROS = 4 * SECOND;

  private String lastProxy = "";
  private long lastStartAt = -DRAIN_MICROS;

  SingleDrain() {
    super("one at a time leaves by operators' calls");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.ProxyOnStandby proxy) {
      if (now - lastStartAt < DRAIN_MICROS - groundTruth.slack()
          && !proxy.proxy().equals(lastProxy)) {
        reportBreach(
            now,
            proxy.proxy() + " leaves " + (now - lastStartAt) / 1_000 + " ms after " + lastProxy);
      }
      lastProxy = proxy.proxy();
      lastStartAt = now;
    }
  }
}
