package brassbank.sim.check;

import brassbank.sim.event.Event;

/** No member that runs and can be reached is declared failed. */
final class NoFalseFailure extends Rule {
  /**
   * A member must have been reachable for this time before a failure declared of it counts as
   * false: a long pause cannot be distinguished from a failure, and a decision made during the
   * pause takes time to spread.
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
    for (Event.Seen member : after.members()) {
      if (member.state().equals("dead")
          && before.liveMembers().contains(member.name())
          && now - groundTruth.mutuallyReachableSince(after.proxy(), member.name())
              > MIN_REACHABLE_MICROS + groundTruth.slack()) {
        reportBreach(
            now, after.proxy() + " declares " + member.name() + " dead, which it could reach");
      }
    }
  }
}
