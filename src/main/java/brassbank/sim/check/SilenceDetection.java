package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A connection on which nothing is received in answer, for whatever cause behind the proxy, is
 * ended or moved within 7 s.
 */
final class SilenceDetection extends Rule {
  private static final long MAX_SILENCE_MICROS = 7 * SECOND;

  private static final class MonitoredFlow {
    final String proxy;
    long unansweredSince = -1;

    MonitoredFlow(String proxy) {
      this.proxy = proxy;
    }
  }

  private final Map<String, MonitoredFlow> flows = new LinkedHashMap<>();

  SilenceDetection() {
    super("a silent connection is moved within 7 s");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      flows.put(sent.flow(), new MonitoredFlow(sent.proxy()));
    } else if (event instanceof Event.LineSent sent && sent.byClient()) {
      MonitoredFlow flow = flows.get(sent.flow());
      if (flow != null && flow.unansweredSince < 0) {
        flow.unansweredSince = now;
      }
    } else if (event instanceof Event.LineArrived arrived && !arrived.byClient()) {
      MonitoredFlow flow = flows.get(arrived.flow());
      if (flow != null) {
        // Further lines may still be unanswered; then the client's next line restarts the timer.
        flow.unansweredSince = -1;
      }
    } else if (event instanceof Event.ClientSawEnd end) {
      flows.remove(end.flow());
    } else if (event instanceof Event.ClientLeft left) {
      flows.remove(left.flow());
    } else if (event instanceof Event.ProxyKilled killed) {
      flows.values().removeIf(flow -> flow.proxy.equals(killed.proxy()));
    }
  }

  @Override
  void onTick(long now) {
    flows.forEach(
        (id, flow) -> {
          if (flow.unansweredSince < 0 || now - flow.unansweredSince <= MAX_SILENCE_MICROS) {
            return;
          }
          long from =
              Math.max(
                  flow.unansweredSince,
                  Math.max(
                      groundTruth.clientCalmSince(id), groundTruth.proxyCalmSince(flow.proxy)));
          if (now - from > MAX_SILENCE_MICROS + groundTruth.slack()) {
            reportBreach(
                now, id + " has received nothing since " + flow.unansweredSince / 1e6 + " s");
          }
        });
  }
}
