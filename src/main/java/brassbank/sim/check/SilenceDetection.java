package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A connection on which nothing comes back, whatever the cause behind the proxy, is ended or moved
 * within 7 s.
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
      MonitoredFlow standing = flows.get(sent.flow());
      if (standing != null && standing.unansweredSince < 0) {
        standing.unansweredSince = now;
      }
    } else if (event instanceof Event.LineArrived arrived && !arrived.byClient()) {
      MonitoredFlow standing = flows.get(arrived.flow());
      if (standing != null) {
        // More may be unanswered still: then the client's next line begins the count again.
        standing.unansweredSince = -1;
      }
    } else if (event instanceof Event.ClientSawEnd end) {
      flows.remove(end.flow());
    } else if (event instanceof Event.ClientLeft left) {
      flows.remove(left.flow());
    } else if (event instanceof Event.ProxyKilled killed) {
      flows.values().removeIf(standing -> standing.proxy.equals(killed.proxy()));
    }
  }

  @Override
  void onTick(long now) {
    flows.forEach(
        (flow, standing) -> {
          if (standing.unansweredSince < 0
              || now - standing.unansweredSince <= MAX_SILENCE_MICROS) {
            return;
          }
          long from =
              Math.max(
                  standing.unansweredSince,
                  Math.max(
                      groundTruth.clientCalmSince(flow),
                      groundTruth.proxyCalmSince(standing.proxy)));
          if (now - from > MAX_SILENCE_MICROS + groundTruth.slack()) {
            reportBreach(
                now, flow + " has heard nothing since " + standing.unansweredSince / 1e6 + " s");
          }
        });
  }
}
