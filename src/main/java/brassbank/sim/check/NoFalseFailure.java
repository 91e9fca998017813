package brassbank.sim.check;

import brassbank.sim.event.Event;

/** Nobody who runs and could be heard is declared dead. */
final class NoFalseFailure extends Rule {
  /**
   * Whoever could not be heard within this is not falsely dead: a long stop cannot be told from a
   * death, and what was decided during it takes its time to be heard of.
   */
  private static final long MIN_REACHABLE_MICROS = 3 * SECOND;

  private final ViewTracker views = new ViewTracker();

  NoFalseFailure() {
    super("nobody who can be heard is declared dead");
  }

  @Override
  void onEvent(long now, Event event) {
    Event.ViewSeen before = views.onEvent(event);
    if (before == null) {
      return;
    }
    Event.ViewSeen after = (Event.ViewSeen) event;
    for (Event.Seen one : after.members()) {
      if (one.state().equals("dead")
          && before.liveMembers().contains(one.name())
          && now - groundTruth.mutuallyReachableSince(after.proxy(), one.name())
              > MIN_REACHABLE_MICROS + groundTruth.slack()) {
        reportBreach(now, after.proxy() + " declares " + one.name() + " dead, which it could hear");
      }
    }
  }
}
