package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When a proxy's process has ended, each of its clients sees the end of its connection, at the
 * latest with the client's next line, which it sends every 2 s.
 */
final class NoOrphanedClient extends Rule {
  private static final long MAX_DELAY_MICROS = 3 * SECOND;

  /** The proxy that each flow was sent to. */
  private final Map<String, String> proxyOfFlow = new HashMap<>();

  /**
   * Proxies of the served flows, by flow. A client that still waits for an answer limits its wait
   * itself.
   */
  private final Map<String, String> proxyOfServedFlow = new HashMap<>();

  /** When the proxy of a served flow ended, by flow. */
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
        (flow, holder) -> {
          if (holder.equals(proxy)) {
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
                    + " is still open at "
                    + proxyOfServedFlow.get(flow)
                    + ", which ended at "
                    + since / 1e6
                    + " s");
          }
        });
  }
}
