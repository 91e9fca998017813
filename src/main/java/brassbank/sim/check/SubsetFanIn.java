package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * With subsets, a host is probed within two seconds by no more proxies than are assigned to it,
 * apart from those that hold sessions there or have just tried to. The rule applies only in
 * fault-free periods: while views differ, or while hosts have no capacity, more proxies probe a
 * host (docs/subsets.md has the bound).
 */
final class SubsetFanIn extends Rule {
  /**
   * Approximate minimum number of hosts in a proxy's subset; where there are few hosts, more
   * proxies use each of them.
   */
  private static final int MIN_HOSTS_PER_PROXY = 8;

  private static final long WINDOW_MICROS = 2 * SECOND;

  /** A proxy that has recently used a host may still probe it for this time. */
  private static final long RECENT_USE_MICROS = 4 * SECOND;

  /** A proxy that found no capacity uses a wider subset for this time. */
  private static final long WIDENED_MICROS = 12 * SECOND;

  /** A host that may still be cold has no capacity beyond its slots. */
  private static final long WARM_UP_MICROS = 25 * SECOND;

  private final Checks.RuleParameters figures;
  private final FaultFreePeriod faultFree;
  private final SessionTracker sessions = new SessionTracker();
  private final Map<String, Map<String, Long>> probers = new HashMap<>();
  private long lastShortageAt;

  SubsetFanIn(Checks.RuleParameters figures) {
    super("a host is asked by few, with subsets");
    this.figures = figures;
    faultFree = new FaultFreePeriod(figures.recovery());
  }

  @Override
  void onEvent(long now, Event event) {
    faultFree.onEvent(now, event);
    sessions.onEvent(now, event);
    if (event instanceof Event.ProbeArrived probe && now - probe.calmSince() > SECOND) {
      Map<String, Long> proxies = probers.computeIfAbsent(probe.host(), h -> new HashMap<>());
      proxies.values().removeIf(at -> at <= now - WINDOW_MICROS);
      if (now - sessions.lastUsedAt(now, probe.proxy(), probe.host()) > RECENT_USE_MICROS) {
        proxies.put(probe.proxy(), now);
      }
      int needed =
          (MIN_HOSTS_PER_PROXY * figures.proxies() + figures.hosts() - 1) / figures.hosts();
      int maxProxies = Math.max(figures.minProxiesPerHost(), needed);
      if (proxies.size() > maxProxies
          && faultFree.isActive(now)
          && now - lastShortageAt > WIDENED_MICROS) {
        reportBreach(
            now,
            probe.host()
                + " was asked by "
                + proxies.size()
                + " proxies that hold nothing there within 2 s, last by "
                + probe.proxy()
                + ", and "
                + maxProxies
                + " are allowed");
      }
    }
  }

  @Override
  void onTick(long now) {
    lastShortageAt =
        groundTruth.usableHosts(WARM_UP_MICROS).size() < figures.hosts() ? now : lastShortageAt;
  }
}
