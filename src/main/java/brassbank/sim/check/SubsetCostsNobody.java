package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * With subsets no flow goes to another zone than its proxy's, and none is refused, on its first try
 * while most hosts of the proxy's zone have served for a while and have room: a subset costs nobody
 * his place. It holds where no fault is on; what faults do to a proxy is other rules' business.
 */
final class SubsetCostsNobody extends Rule {
  /** After a fault a proxy may take so long to know its hosts again. */
  private static final long KNOWS = 8 * SECOND;

  /** A heavy flow does not go to a host that may still be cold. */
  private static final long WARM = 25 * SECOND;

  /** What a proxy that was called away or told to stop refuses is none of a subset's. */
  private static final long LEFT = 10 * SECOND;

  private final Checks.RuleParameters figures;
  private final Calm calm = new Calm(KNOWS);
  private final Set<String> tried = new HashSet<>();
  private final Map<String, String> proxyOf = new HashMap<>();
  private final Map<String, Long> left = new HashMap<>();

  SubsetCostsNobody(Checks.RuleParameters figures) {
    super("a subset costs nobody his place");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    calm.see(now, event);
    if (event instanceof Event.FlowSent sent) {
      proxyOf.put(sent.flow(), sent.proxy());
    } else if (event instanceof Event.AttemptArrived attempt) {
      boolean first = tried.add(attempt.flow());
      String zone = truth.zone(attempt.proxy());
      if (first && !zone.equals(truth.zone(attempt.host())) && room(now, attempt.proxy())) {
        reportBreach(
            now,
            attempt.flow()
                + " went to "
                + attempt.host()
                + ", outside of "
                + zone
                + ", where most hosts have room");
      }
    } else if (event instanceof Event.FlowAnswered answer && answer.line().startsWith("BUSY")) {
      String proxy = proxyOf.get(answer.flow());
      boolean refused = !tried.contains(answer.flow()) && !figures.descriptorsAreScarce();
      if (refused && proxy != null && room(now, proxy)) {
        reportBreach(now, answer.flow() + " is refused by " + proxy + ", whose hosts have room");
      }
    } else if (event instanceof Event.ProxyOnStandby proxy) {
      left.put(proxy.proxy(), now);
    } else if (event instanceof Event.ProxyTerminated proxy) {
      left.put(proxy.proxy(), now);
    }
  }

  private boolean room(long now, String proxy) {
    return calm.is(now)
        && now - left.getOrDefault(proxy, -LEFT) >= LEFT
        && truth.zoneHasCapacity(proxy, WARM);
  }
}
