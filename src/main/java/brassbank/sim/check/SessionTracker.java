package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Tracks which proxies have attempts or sessions at which hosts, and when they last had one. */
final class SessionTracker {
  private record Pair(String proxy, String host) {}

  private final Map<String, Pair> pairOfFlow = new HashMap<>();
  private final Map<Pair, Set<String>> openFlows = new HashMap<>();
  private final Map<Pair, Long> lastUsedAt = new HashMap<>();

  void onEvent(long now, Event event) {
    if (event instanceof Event.AttemptArrived attempt) {
      sessionEnded(now, attempt.flow());
      Pair pair = new Pair(attempt.proxy(), attempt.host());
      pairOfFlow.put(attempt.flow(), pair);
      openFlows.computeIfAbsent(pair, p -> new HashSet<>()).add(attempt.flow());
    } else if (event instanceof Event.ProxyEnded ended) {
      sessionEnded(now, ended.flow(), ended.host());
    } else if (event instanceof Event.HostEnded ended) {
      sessionEnded(now, ended.flow(), ended.host());
    }
  }

  private void sessionEnded(long now, String flow, String host) {
    Pair pair = pairOfFlow.get(flow);
    if (pair != null && pair.host().equals(host)) {
      sessionEnded(now, flow);
    }
  }

  private void sessionEnded(long now, String flow) {
    Pair pair = pairOfFlow.remove(flow);
    if (pair != null) {
      openFlows.get(pair).remove(flow);
      lastUsedAt.put(pair, now);
    }
  }

  /**
   * Returns when the proxy last had an attempt or a session at the host: {@code now} where it has
   * one, and a time in the distant past where it never had one.
   */
  long lastUsedAt(long now, String proxy, String host) {
    Pair pair = new Pair(proxy, host);
    Set<String> flows = openFlows.get(pair);
    return flows != null && !flows.isEmpty()
        ? now
        : lastUsedAt.getOrDefault(pair, Long.MIN_VALUE / 2);
  }
}
