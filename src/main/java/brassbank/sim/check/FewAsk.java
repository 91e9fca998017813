package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * With subsets a host is asked, within two seconds, by no more proxies than are to ask it, beside
 * those that hold sessions there or have just tried to. It holds where nothing is wrong: while
 * views differ, or hosts have no room, more ask (docs/subsets.md has the bound).
 */
final class FewAsk extends Rule {
  /** Hosts that a proxy has at least, by and large: more ask where there are few. */
  private static final int HOSTS = 8;

  private static final long WITHIN = 2 * SECOND;

  /** Whoever has had to do with a host may ask it once more. */
  private static final long AFTER = 4 * SECOND;

  /** A proxy that missed room looks further for so long. */
  private static final long NARROWED = 12 * SECOND;

  /** A host that may still be cold has no room but for its places. */
  private static final long WARM = 25 * SECOND;

  private final Checks.RuleParameters figures;
  private final Calm calm;
  private final Sessions sessions = new Sessions();
  private final Map<String, Map<String, Long>> asked = new HashMap<>();
  private long fullAt;

  FewAsk(Checks.RuleParameters figures) {
    super("a host is asked by few, with subsets");
    this.figures = figures;
    calm = new Calm(figures.recovery());
  }

  @Override
  void onEvent(long now, Event event) {
    calm.see(now, event);
    sessions.see(now, event);
    if (event instanceof Event.ProbeArrived probe && now - probe.calmSince() > SECOND) {
      Map<String, Long> by = asked.computeIfAbsent(probe.host(), h -> new HashMap<>());
      by.values().removeIf(at -> at <= now - WITHIN);
      if (now - sessions.until(now, probe.proxy(), probe.host()) > AFTER) {
        by.put(probe.proxy(), now);
      }
      int enough = (HOSTS * figures.proxies() + figures.hosts() - 1) / figures.hosts();
      int most = Math.max(figures.minProxiesPerHost(), enough);
      if (by.size() > most && calm.is(now) && now - fullAt > NARROWED) {
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
    fullAt = truth.usableHosts(WARM).size() < figures.hosts() ? now : fullAt;
  }
}
