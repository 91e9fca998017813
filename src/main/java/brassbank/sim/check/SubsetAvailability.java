package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * With subsets, the first attempt of a flow does not go to another zone than its proxy's, and no
 * flow is rejected without an attempt, while most hosts of the proxy's zone have served for a while
 * and have capacity: a subset must not reduce the availability of capacity. The rule applies only
 * in fault-free periods; other rules cover the effect of faults on a proxy.
 */
final class SubsetAvailability extends Rule {
  /** Time that a proxy may need after a fault until it knows its hosts again. */
  private static final long RECOVERY_MICROS = 8 * SECOND;

  /**
   * Time after which a host counts as warm; a flow with much load is not sent to a host that may be
   * cold.
   */
  private static final long WARM_UP_MICROS = 25 * SECOND;

  /**
   * For this time after a call for standby or SIGTERM the rejections of a proxy are not due to its
   * subset.
   */
  private static final long DRAIN_MICROS = 10 * SECOND;

  private final Checks.RuleParameters figures;
  private final FaultFreePeriod faultFree = new FaultFreePeriod(RECOVERY_MICROS);
  private final Set<String> attempted = new HashSet<>();
  private final Map<String, String> proxyOfFlow = new HashMap<>();
  private final Map<String, Long> drainingSince = new HashMap<>();

  SubsetAvailability(Checks.RuleParameters figures) {
    super("a subset costs nobody his place");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    faultFree.onEvent(now, event);
    if (event instanceof Event.FlowSent sent) {
      proxyOfFlow.put(sent.flow(), sent.proxy());
    } else if (event instanceof Event.AttemptArrived attempt) {
      boolean first = attempted.add(attempt.flow());
      String zone = groundTruth.zone(attempt.proxy());
      if (first
          && !zone.equals(groundTruth.zone(attempt.host()))
          && hasCapacity(now, attempt.proxy())) {
        reportBreach(
            now,
            attempt.flow()
                + " went to "
                + attempt.host()
                + ", outside of "
                + zone
                + ", where most hosts have capacity");
      }
    } else if (event instanceof Event.FlowAnswered answer && answer.line().startsWith("BUSY")) {
      String proxy = proxyOfFlow.get(answer.flow());
      boolean refused = !attempted.contains(answer.flow()) && !figures.descriptorsAreScarce();
      if (refused && proxy != null && hasCapacity(now, proxy)) {
        reportBreach(
            now, answer.flow() + " is refused by " + proxy + ", whose hosts have capacity");
      }
    } else if (event instanceof Event.ProxyOnStandby proxy) {
      drainingSince.put(proxy.proxy(), now);
    } else if (event instanceof Event.ProxyTerminated proxy) {
      drainingSince.put(proxy.proxy(), now);
    }
  }

  private boolean hasCapacity(long now, String proxy) {
    return faultFree.isActive(now)
        && now - drainingSince.getOrDefault(proxy, -DRAIN_MICROS) >= DRAIN_MICROS
        && groundTruth.zoneHasCapacity(proxy, WARM_UP_MICROS);
  }
}
