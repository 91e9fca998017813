package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * The version of a proxy's view increases, and the incarnation of a member in it never decreases: a
 * member that has failed or left returns with a higher incarnation only. Members that a view has
 * forgotten meanwhile are not compared.
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
    before.members().forEach(member -> known.put(member.name(), member));
    for (Event.Seen member : after.members()) {
      Event.Seen old = known.get(member.name());
      if (old == null || member.name().equals(after.proxy())) {
        continue;
      }
      boolean higher =
          member.birth() != old.birth()
              ? member.birth() > old.birth()
              : member.raised() > old.raised();
      boolean lower = !higher && (member.birth() != old.birth() || member.raised() != old.raised());
      boolean wasGone = old.state().equals("dead") || old.state().equals("left");
      boolean live = member.state().equals("alive") || member.state().equals("suspect");
      if (lower || (wasGone && live && !higher)) {
        reportBreach(now, after.proxy() + " goes from " + old + " to " + member);
      }
    }
  }
}
