package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.Set;

/** Once the faults are over all views are equal, and equal to the truth. */
final class ViewsAgree extends Rule {
  private static final long EVERY = SECOND;

  private final Checks.RuleParameters figures;
  private final Views views = new Views();
  private long from = Long.MAX_VALUE;
  private boolean told;

  ViewsAgree(Checks.RuleParameters figures) {
    super("all views are equal, and the truth, after the faults");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    views.see(event);
    if (event instanceof Event.AllFaultsOver) {
      from = now + figures.recovery();
    } else if (from < Long.MAX_VALUE && Calm.changesTheFleet(event)) {
      // A rolling restart of a large fleet goes on beyond the fault's own time.
      from = Math.max(from, now + figures.recovery());
    }
  }

  @Override
  void onTick(long now) {
    if (now < from || told) {
      return;
    }
    from = now + EVERY;
    Set<String> members = truth.runningMembers();
    for (String name : members) {
      Event.ViewSeen view = views.last().get(name);
      if (view == null || !view.liveMembers().equals(members)) {
        told = true;
        reportBreach(
            now,
            name
                + " sees "
                + (view == null ? "nobody" : view.liveMembers())
                + ", there are "
                + members);
        return;
      }
    }
  }
}
