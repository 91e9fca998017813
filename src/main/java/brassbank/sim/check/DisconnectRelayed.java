package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When a stream host ends a connection, the client's connection is ended or moved within a second.
 */
final class DisconnectRelayed extends Rule {
  private static final long MAX_DELAY_MICROS = SECOND;

  /** Proxies of the flows that wait for an answer or are established, by flow. */
  private final Map<String, String> proxyOfFlow = new HashMap<>();

  private final Map<String, Long> servedAt = new HashMap<>();
  private final Map<String, Long> hostEndedAt = new LinkedHashMap<>();

  DisconnectRelayed() {
    super("an end is passed on within a second");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      proxyOfFlow.put(sent.flow(), sent.proxy());
    } else if (event instanceof Event.ClientServed served) {
      servedAt.put(served.flow(), now);
    } else if (event instanceof Event.HostEnded end && end.stood() && !end.silently()) {
      if (proxyOfFlow.containsKey(end.flow())) {
        hostEndedAt.put(end.flow(), now);
      }
    } else if (event instanceof Event.AttemptArrived again && !again.givenUp()) {
      // What the host ended was an attempt, and another attempt has followed.
      hostEndedAt.remove(again.flow());
    } else if (event instanceof Event.FlowAnswered answered && !answered.line().startsWith("UP")) {
      forget(answered.flow());
    } else if (event instanceof Event.ClientSawEnd end) {
      forget(end.flow());
    } else if (event instanceof Event.ClientLeft left) {
      forget(left.flow());
    } else if (event instanceof Event.ProxyKilled killed) {
      proxyOfFlow.forEach(
          (flow, proxy) -> {
            if (proxy.equals(killed.proxy())) {
              hostEndedAt.remove(flow);
            }
          });
    }
  }

  private void forget(String flow) {
    proxyOfFlow.remove(flow);
    servedAt.remove(flow);
    hostEndedAt.remove(flow);
  }

  @Override
  void onTick(long now) {
    hostEndedAt.forEach(
        (flow, at) -> {
          if (!servedAt.containsKey(flow)) {
            return;
          }
          long from =
              Math.max(
                  Math.max(
                      Math.max(at, servedAt.get(flow)),
                      groundTruth.proxyCalmSince(proxyOfFlow.get(flow))),
                  Math.max(groundTruth.clientCalmSince(flow), groundTruth.hostCalmSince(flow)));
          if (now - from > MAX_DELAY_MICROS + groundTruth.slack()) {
            reportBreach(
                now,
                flow
                    + " was ended by its host at "
                    + at / 1e6
                    + " s, and its client's connection is still open");
          }
        });
  }
}
