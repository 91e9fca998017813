package brassbank.sim.check;

import brassbank.sim.event.Event;

/**
 * By operators' calls one proxy at a time sends its clients away: while one does, which is over
 * after 4 s, no other begins. Told by who has been answered yes.
 */
final class OneLeaves extends Rule {
  private static final long AWAY = 4 * SECOND;

  private String last = "";
  private long since = -AWAY;

  OneLeaves() {
    super("one at a time leaves by operators' calls");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.ProxyOnStandby proxy) {
      if (now - since < AWAY - truth.slack() && !proxy.proxy().equals(last)) {
        reportBreach(now, proxy.proxy() + " leaves " + (now - since) / 1_000 + " ms after " + last);
      }
      last = proxy.proxy();
      since = now;
    }
  }
}
