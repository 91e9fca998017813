package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * By operators' calls one proxy at a time sends its clients away: while one does, which is over
 * after 4 s, no other begins. Told by who has been answered yes.
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
