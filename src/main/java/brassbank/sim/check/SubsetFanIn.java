package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * With subsets a host is asked, within two seconds, by no more proxies than are to ask it, beside
 * those that hold sessions there or have just tried to. It holds where nothing is wrong: while
 * views differ, or hosts have no room, more ask (docs/subsets.md has the bound).
 */
final class SubsetFanIn extends Rule {
  /** Hosts that a proxy has at least, by and large: more ask where there are few. */
  private static final int MIN_HOSTS_PER_PROXY = 8;

  private static final long WINDOW_MICROS = 2 * SECOND;

  /** Whoever has had to do with a host may ask it once more. */
  private static final long RECENT_USE_MICROS = 4 * SECOND;

  /** A proxy that missed room looks further for so long. */
  private static final long WIDENED_MICROS = 12 * SECOND;

  /** A host that may still be cold has no room but for its places. */
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
      Map<String, Long> by = probers.computeIfAbsent(probe.host(), h -> new HashMap<>());
      by.values().removeIf(at -> at <= now - WINDOW_MICROS);
      if (now - sessions.lastUsedAt(now, probe.proxy(), probe.host()) > RECENT_USE_MICROS) {
        by.put(probe.proxy(), now);
      }
      int enough =
          (MIN_HOSTS_PER_PROXY * figures.proxies() + figures.hosts() - 1) / figures.hosts();
      int most = Math.max(figures.minProxiesPerHost(), enough);
      if (by.size() > most && faultFree.isActive(now) && now - lastShortageAt > WIDENED_MICROS) {
        reportBreach(
            now,
            probe.host()
                + " was asked by "
                + by.size()
                + " proxies that hold nothing there within 2 s, last by "
                + probe.proxy()
                + ", and "
                + most
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
