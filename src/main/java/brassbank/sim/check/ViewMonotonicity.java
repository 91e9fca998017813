package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * A view's versions grow, and whoever was gone in it comes back by a higher incarnation only; one
 * that it has forgotten meanwhile is another's business.
 */
final class ViewMonotonicity extends Rule {
  private final ViewTracker views = new ViewTracker();

  ViewMonotonicity() {
    super("the gone come back by a higher incarnation, and versions grow");
  }

  @Override
  void onEvent(long now, Event event) {
    Event.ViewSeen before = views.onEvent(event);
    if (before == null) {
      return;
    }
    Event.ViewSeen after = (Event.ViewSeen) event;
    if (after.version() <= before.version()) {
      reportBreach(
          now, after.proxy() + " goes from " + before.version() + " to " + after.version());
    }
    Map<String, Event.Seen> known = new HashMap<>();
    before.members().forEach(one -> known.put(one.name(), one));
    for (Event.Seen one : after.members()) {
      Event.Seen old = known.get(one.name());
      if (old == null || one.name().equals(after.proxy())) {
        continue;
      }
      boolean higher =
          one.birth() != old.birth() ? one.birth() > old.birth() : one.raised() > old.raised();
      boolean lower = !higher && (one.birth() != old.birth() || one.raised() != old.raised());
      boolean gone = old.state().equals("dead") || old.state().equals("left");
      boolean live = one.state().equals("alive") || one.state().equals("suspect");
      if (lower || (gone && live && !higher)) {
        reportBreach(now, after.proxy() + " goes from " + old + " to " + one);
      }
    }
  }
}
