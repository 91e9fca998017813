package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Which proxies have attempts out or sessions at which hosts, and until when they last had. */
final class Sessions {
  private record Pair(String proxy, String host) {}

  private final Map<String, Pair> at = new HashMap<>();
  private final Map<Pair, Set<String>> open = new HashMap<>();
  private final Map<Pair, Long> until = new HashMap<>();

  void see(long now, Event event) {
    if (event instanceof Event.AttemptArrived attempt) {
      over(now, attempt.flow());
      Pair pair = new Pair(attempt.proxy(), attempt.host());
      at.put(attempt.flow(), pair);
      open.computeIfAbsent(pair, p -> new HashSet<>()).add(attempt.flow());
    } else if (event instanceof Event.ProxyEnded ended) {
      over(now, ended.flow(), ended.host());
    } else if (event instanceof Event.HostEnded ended) {
      over(now, ended.flow(), ended.host());
    }
  }

  private void over(long now, String flow, String host) {
    Pair pair = at.get(flow);
    if (pair != null && pair.host().equals(host)) {
      over(now, flow);
    }
  }

  private void over(long now, String flow) {
    Pair pair = at.remove(flow);
    if (pair != null) {
      open.get(pair).remove(flow);
      until.put(pair, now);
    }
  }

  /** Until when the proxy has had anything there; a time long past where it never had. */
  long until(long now, String proxy, String host) {
    Pair pair = new Pair(proxy, host);
    Set<String> flows = open.get(pair);
    return flows != null && !flows.isEmpty() ? now : until.getOrDefault(pair, Long.MIN_VALUE / 2);
  }
}
