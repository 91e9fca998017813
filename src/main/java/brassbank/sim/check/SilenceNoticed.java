package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A connection on which nothing comes back, whatever the cause behind the proxy, is ended or moved
 * within 7 s.
 */
final class SilenceNoticed extends Rule {
  private static final long WITHIN = 7 * SECOND;

  private static final class Standing {
    final String proxy;
    long askedAt = -1;

    Standing(String proxy) {
      this.proxy = proxy;
    }
  }

  private final Map<String, Standing> flows = new LinkedHashMap<>();

  SilenceNoticed() {
    super("a silent connection is moved within 7 s");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      flows.put(sent.flow(), new Standing(sent.proxy()));
    } else if (event instanceof Event.LineSent sent && sent.byClient()) {
      Standing standing = flows.get(sent.flow());
      if (standing != null && standing.askedAt < 0) {
        standing.askedAt = now;
      }
    } else if (event instanceof Event.LineArrived arrived && !arrived.byClient()) {
      Standing standing = flows.get(arrived.flow());
      if (standing != null) {
        // More may be unanswered still: then the client's next line begins the count again.
        standing.askedAt = -1;
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
          if (standing.askedAt < 0 || now - standing.askedAt <= WITHIN) {
            return;
          }
          long from =
              Math.max(
                  standing.askedAt,
                  Math.max(truth.clientCalmSince(flow), truth.proxyCalmSince(standing.proxy)));
          if (now - from > WITHIN + truth.slack()) {
            reportBreach(now, flow + " has heard nothing since " + standing.askedAt / 1e6 + " s");
          }
        });
  }
}
