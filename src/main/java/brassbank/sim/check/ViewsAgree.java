package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.Set;

/** Once the faults are over all views are equal, and equal to the truth. */
final class ViewsAgree extends Rule {
  private static final long EVERY = SECOND;

  private final Checks.Figures figures;
  private final Views views = new Views();
  private long from = Long.MAX_VALUE;
  private boolean told;

  ViewsAgree(Checks.Figures figures) {
    super("all views are equal, and the truth, after the faults");
    this.figures = figures;
  }

  @Override
  void see(long now, Event event) {
    views.see(event);
    if (event instanceof Event.AllFaultsOver) {
      from = now + figures.recovery();
    } else if (from < Long.MAX_VALUE && Calm.changesTheFleet(event)) {
      // A rolling restart of a large fleet goes on beyond the fault's own time.
      from = Math.max(from, now + figures.recovery());
    }
  }

  @Override
  void look(long now) {
    if (now < from || told) {
      return;
    }
    from = now + EVERY;
    Set<String> members = truth.members();
    for (String name : members) {
      Event.ViewSeen view = views.last().get(name);
      if (view == null || !view.live().equals(members)) {
        told = true;
        broken(
            now,
            name + " sees " + (view == null ? "nobody" : view.live()) + ", there are " + members);
        return;
      }
    }
  }
}
