package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** A proxy that does not run is, within a time limit, not live in the view of any running proxy. */
final class FailureDetection extends Rule {
  /** In 4,000 crashes among 14 members the slowest detection took 2.9 s. */
  private static final long DETECTION_MICROS = 8 * SECOND;

  /**
   * A member that remains alone detects all other failures by itself; for 13 failed members that
   * took 13.5 s.
   */
  private static final long MICROS_PER_FAILURE = SECOND;

  private final Checks.RuleParameters figures;
  private final ViewTracker views = new ViewTracker();
  private final Map<String, Long> downSince = new HashMap<>();
  private final Map<String, Long> upSince = new HashMap<>();
  private final Set<String> reported = new HashSet<>();

  FailureDetection(Checks.RuleParameters figures) {
    super("whoever is dead is dead in each view");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    views.onEvent(event);
  }

  @Override
  void onTick(long now) {
    Set<String> running = groundTruth.runningMembers();
    for (int i = 0; i < figures.proxies(); i++) {
      String name = "n" + i;
      if (running.contains(name)) {
        downSince.remove(name);
        upSince.putIfAbsent(name, now);
      } else {
        upSince.remove(name);
        downSince.putIfAbsent(name, now);
      }
    }
    views.latest().forEach((viewer, view) -> checkView(now, viewer, view));
  }

  private void checkView(long now, String viewer, Event.ViewSeen view) {
    Long up = upSince.get(viewer);
    if (up == null || view.displaced()) {
      return;
    }
    long since = Math.max(up, groundTruth.proxyCalmSince(viewer));
    long within = DETECTION_MICROS + groundTruth.slack() + MICROS_PER_FAILURE * downSince.size();
    for (String name : view.liveMembers()) {
      Long down = downSince.get(name);
      if (down != null && now - Math.max(down, since) > within && reported.add(viewer + name)) {
        reportBreach(now, viewer + " holds " + name + " to be live, which stopped at " + down);
      }
    }
  }
}
