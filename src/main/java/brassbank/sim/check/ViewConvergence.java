package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.Set;

/** After the faults all views are equal to each other and to the members that run. */
final class ViewConvergence extends Rule {
  private static final long INTERVAL_MICROS = SECOND;

  private final Checks.RuleParameters figures;
  private final ViewTracker views = new ViewTracker();
  private long nextCheckAt = Long.MAX_VALUE;
  private boolean reported;

  ViewConvergence(Checks.RuleParameters figures) {
    super("all views are equal, and the truth, after the faults");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    views.onEvent(event);
    if (event instanceof Event.AllFaultsOver) {
      nextCheckAt = now + figures.recovery();
    } else if (nextCheckAt < Long.MAX_VALUE && FaultFreePeriod.isFleetChange(event)) {
      // A rolling restart of a large fleet continues after the fault that started it has ended.
      nextCheckAt = Math.max(nextCheckAt, now + figures.recovery());
    }
  }

  @Override
  void onTick(long now) {
    if (now < nextCheckAt || reported) {
      return;
    }
    nextCheckAt = now + INTERVAL_MICROS;
    Set<String> members = groundTruth.runningMembers();
    for (String name : members) {
      Event.ViewSeen view = views.latest().get(name);
      if (view == null || !view.liveMembers().equals(members)) {
        reported = true;
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
