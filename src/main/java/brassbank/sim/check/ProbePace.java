package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * All proxies together ask one stream host no more often than so many times a second: some for each
 * proxy, and one for every second flow, since a flow that has failed at a host may have it asked.
 * What was held up on its way, and arrives all at once, is not counted.
 */
final class ProbePace extends Rule {
  /** Seen of one proxy in a second, without flows that fail: 3. */
  private static final int EACH_PROXY = 4;

  private final Checks.Figures figures;
  private final Map<String, Window> probes = new HashMap<>();
  private final Window flows = new Window();

  ProbePace(Checks.Figures figures) {
    super("probes a second at one stream host");
    this.figures = figures;
  }

  @Override
  void see(long now, Event event) {
    if (event instanceof Event.FlowSent) {
      flows.add(now);
    } else if (event instanceof Event.ProbeArrived probe && now - probe.calmSince() > SECOND) {
      int count = probes.computeIfAbsent(probe.host(), h -> new Window()).add(now);
      int most = EACH_PROXY * figures.proxies() + flows.count(now) / 2;
      if (count > most) {
        broken(
            now,
            probe.host()
                + " was asked "
                + count
                + " times within a second, last by "
                + probe.proxy()
                + ", and "
                + most
                + " are allowed");
      }
    }
  }
}
