package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits how many probes, connects or session set-ups one stream host receives per second from all
 * proxies together. The limit has a part for each proxy and a part for the flows that arrived
 * within a window, since a flow that failed at a host may cause a probe, and a flow that is sent
 * there needs a connection. Flows that waited for a host may all be sent to it at once when it
 * returns.
 */
final class HostRequestRate extends Rule {
  /** The longest time for which a flow waits for a host: its deadline. */
  private static final long MAX_WAIT_MICROS = 5 * SECOND;

  /** An operation that is counted, with the parts of its limit. */
  enum Operation {
    /** One proxy reached 3 probes in a second where no flow failed. */
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
      // Probes that the network delayed and then delivered together are not counted.
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
    int maxCount =
        operation.perProxy * figures.proxies() + (int) (operation.perFlow * flows.count(now));
    if (count > maxCount) {
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
              + maxCount
              + " are allowed");
    }
  }
}
