package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * All proxies together ask one stream host, connect to it or set sessions up there no more often
 * than so many times a second: some for each proxy, and some for the flows that came meanwhile,
 * since a flow that has failed at a host may have it asked, and one that goes there needs a
 * connection. Flows that waited for a host may all go there at once when it is back.
 */
final class HostRequestRate extends Rule {
  /** A flow waits for a host no longer than its deadline. */
  private static final long MAX_WAIT_MICROS = 5 * SECOND;

  /** What is counted, and by what it is bounded. */
  enum Operation {
    /** Seen of one proxy in a second, without flows that fail: 3. */
    PROBES("probes", "was asked", 4, 0.5, SECOND),
    CONNECTS("connects", "was connected to", 8, 1, MAX_WAIT_MICROS),
    SETUPS("set-ups", "was sent flows", 4, 1, MAX_WAIT_MICROS);

    private final String name;
    private final String verb;
    private final int perProxy;
    private final double perFlow;
    private final long flowWindowMicros;

    Operation(String name, String done, int eachProxy, double eachFlow, long meanwhile) {
      this.name = name;
      this.verb = done;
      this.perProxy = eachProxy;
      this.perFlow = eachFlow;
      this.flowWindowMicros = meanwhile;
    }
  }

  private final Operation operation;
  private final Checks.RuleParameters figures;
  private final Map<String, SlidingWindowCounter> counts = new HashMap<>();
  private final SlidingWindowCounter flows;

  HostRequestRate(Operation of, Checks.RuleParameters figures) {
    super(of.name + " a second at one stream host");
    this.operation = of;
    flows = new SlidingWindowCounter(of.flowWindowMicros);
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent) {
      flows.add(now);
    } else if (operation == Operation.PROBES && event instanceof Event.ProbeArrived probe) {
      // What was held up on its way, and arrives all at once, is not counted.
      if (now - probe.calmSince() > SECOND) {
        count(now, probe.host(), probe.proxy());
      }
    } else if (operation == Operation.CONNECTS && event instanceof Event.HostConnected connected) {
      count(now, connected.host(), connected.proxy());
    } else if (operation == Operation.SETUPS && event instanceof Event.AttemptArrived attempt) {
      count(now, attempt.host(), attempt.proxy());
    }
  }

  private void count(long now, String host, String proxy) {
    int count = counts.computeIfAbsent(host, h -> new SlidingWindowCounter()).add(now);
    int most =
        operation.perProxy * figures.proxies() + (int) (operation.perFlow * flows.count(now));
    if (count > most) {
      reportBreach(
          now,
          host
              + " "
              + operation.verb
              + " "
              + count
              + " times within a second, last by "
              + proxy
              + ", and "
              + most
              + " are allowed");
    }
  }
}
