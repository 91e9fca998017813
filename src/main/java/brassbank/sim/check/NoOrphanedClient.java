package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * No client is left that no proxy holds and no one has told: when a proxy has ended, each of its
 * clients sees the end of its connection, at the latest with its next line, which comes every 2 s.
 */
final class NoOrphanedClient extends Rule {
  private static final long MAX_DELAY_MICROS = 3 * SECOND;

  /** Which proxy each flow was sent to. */
  private final Map<String, String> proxyOfFlow = new HashMap<>();

  /** Flows that stand, with their proxies; who waits for an answer knows himself how long. */
  private final Map<String, String> proxyOfServedFlow = new HashMap<>();

  /** Those whose proxy has ended, and when. */
  private final Map<String, Long> orphanedAt = new LinkedHashMap<>();

  NoOrphanedClient() {
    super("no client is left that no proxy holds");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent flow) {
      proxyOfFlow.put(flow.flow(), flow.proxy());
    } else if (event instanceof Event.ClientServed client) {
      proxyOfServedFlow.put(client.flow(), proxyOfFlow.get(client.flow()));
    } else if (event instanceof Event.ClientSawEnd end) {
      flowClosed(end.flow());
    } else if (event instanceof Event.ClientLeft client) {
      flowClosed(client.flow());
    } else if (event instanceof Event.ProxyKilled killed && !killed.overdue()) {
      proxyEnded(now, killed.proxy());
    } else if (event instanceof Event.ProxyExited exited) {
      proxyEnded(now, exited.proxy());
    }
  }

  private void flowClosed(String flow) {
    proxyOfFlow.remove(flow);
    proxyOfServedFlow.remove(flow);
    orphanedAt.remove(flow);
  }

  private void proxyEnded(long now, String proxy) {
    proxyOfServedFlow.forEach(
        (flow, at) -> {
          if (at.equals(proxy)) {
            orphanedAt.put(flow, now);
          }
        });
  }

  @Override
  void onTick(long now) {
    orphanedAt.forEach(
        (flow, since) -> {
          long from = Math.max(since, groundTruth.clientCalmSince(flow));
          if (now - from > MAX_DELAY_MICROS + groundTruth.slack()) {
            reportBreach(
                now,
                flow
                    + " still stands at "
                    + proxyOfServedFlow.get(flow)
                    + ", which ended at "
                    + since / 1e6
                    + " s");
          }
        });
  }
}
