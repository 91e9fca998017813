package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.Map;
import java.util.TreeMap;

/** The last view of each proxy that runs. */
final class ViewTracker {
  private final Map<String, Event.ViewSeen> latest = new TreeMap<>();

  /** Takes the event; the view that the same process had before, or null. */
  Event.ViewSeen onEvent(Event event) {
    if (event instanceof Event.ViewSeen view) {
      Event.ViewSeen before = latest.put(view.proxy(), view);
      return before != null && before.process() == view.process() ? before : null;
    } else if (event instanceof Event.ProxyStarted started) {
      latest.remove(started.proxy());
    }
    return null;
  }

  Map<String, Event.ViewSeen> latest() {
    return latest;
  }
}
