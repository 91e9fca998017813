package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashSet;
import java.util.Set;

/**
 * After the last fault the system recovers within the stated time: from then on every client is
 * served where the fleet has capacity, and every healthy host is in use.
 */
final class Recovery extends Rule {
  /**
   * Up to this number of hosts, {@link #MIN_ATTEMPTS_PER_HOST} is enough for each. With more hosts
   * chance is likelier to leave one out: among 60 hosts with 7 attempts each, that happened in
   * every second run.
   */
  private static final double SMALL_FLEET_HOSTS = 12;

  /** A host that has served for this time must have been chosen. */
  private static final long IN_USE_MICROS = 14 * SECOND;

  private final Checks.RuleParameters figures;

  /**
   * With this number of attempts per host, a host without any was left out for another reason than
   * chance.
   */
  private static final int MIN_ATTEMPTS_PER_HOST = 8;

  /** Below this share of its capacity the fleet has capacity for every client. */
  private static final double MAX_LOAD = 0.5;

  private int attempts;
  private boolean fleetHadCapacity = true;
  private final Set<String> usedHosts = new HashSet<>();
  private long recoveredFrom = Long.MAX_VALUE;

  Recovery(Checks.RuleParameters figures) {
    super("all sound again after the last fault");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.AllFaultsOver) {
      recoveredFrom = now + figures.recovery();
    } else if (event instanceof Event.ClientGaveUp gaveUp && gaveUp.cameAt() >= recoveredFrom) {
      if (!figures.descriptorsAreScarce() && figures.demand() < MAX_LOAD && fleetHadCapacity) {
        reportBreach(now, gaveUp.client() + " was not served");
      }
    } else if (event instanceof Event.AttemptArrived arrived && now >= recoveredFrom) {
      usedHosts.add(arrived.host());
      attempts++;
    }
  }

  @Override
  void onTick(long now) {
    if (now >= recoveredFrom) {
      fleetHadCapacity &= groundTruth.fleetLoad() < MAX_LOAD;
    }
  }

  @Override
  void onEnd(long now) {
    if (now - recoveredFrom < IN_USE_MICROS
        || attempts
            < MIN_ATTEMPTS_PER_HOST
                * figures.hosts()
                * Math.max(1, figures.hosts() / SMALL_FLEET_HOSTS)) {
      return;
    }
    for (String host : groundTruth.usableHosts(now - recoveredFrom)) {
      if (!usedHosts.contains(host)) {
        reportBreach(now, host + " serves and was sent nothing");
      }
    }
  }
}
