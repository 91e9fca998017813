package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.Map;
import java.util.TreeMap;

/** Keeps the latest view of each running proxy. */
final class ViewTracker {
  private final Map<String, Event.ViewSeen> latest = new TreeMap<>();

  /**
   * Receives an event; where it is a view, returns the previous view of the same process, or null
   * where there is none.
   */
  Event.ViewSeen onEvent(Event event) {
    if (event instanceof Event.ViewSeen view) {
      Event.ViewSeen before = latest.put(view.proxy(), view);
      return before != null && before.process() == view.process() ? before : null;
    } else if (event instanceof Event.ProxyStarted started) {
      latest.remove(started.proxy());
    }
    return null;
  }

  /** Returns the latest views, by the proxies' names. */
  Map<String, Event.ViewSeen> latest() {
    return latest;
  }
}
