package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * No proxy calls discovery more than so many times a second, nor all of them together: it handles
 * calls one after another, four to six a second, and turns away who has waited.
 */
final class CallPace extends Rule {
  /** Seen of one proxy whose calls are refused at once: 7. */
  private static final int EACH_PROXY = 8;

  /** Seen at a start of 3 proxies: 12; of 56: 32. */
  private static final int ALL_FOR_EACH = 4;

  private static final int ALL_BESIDE = 8;

  private final Checks.RuleParameters figures;
  private final Map<String, Window> calls = new HashMap<>();
  private final Window all = new Window();

  CallPace(Checks.RuleParameters figures) {
    super("calls a second at discovery");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.ListCalled call) {
      int own = calls.computeIfAbsent(call.proxy(), p -> new Window()).add(now);
      int together = all.add(now);
      int most = ALL_FOR_EACH * figures.proxies() + ALL_BESIDE;
      if (own > EACH_PROXY) {
        reportBreach(now, call.proxy() + " has called discovery " + own + " times within a second");
      } else if (together > most) {
        reportBreach(
            now,
            "discovery was called "
                + together
                + " times within a second, last by "
                + call.proxy()
                + ", and "
                + most
                + " are allowed");
      }
    }
  }
}
