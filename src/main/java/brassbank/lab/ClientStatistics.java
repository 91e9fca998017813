package brassbank.lab;

import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts the outcomes of the flows that each proxy was sent, as the clients saw them. */
final class ClientStatistics implements Trace.Listener {
  /** Of one proxy: flows sent, served, refused and unanswered, and clients moved away by it. */
  static final class ProxyCounts {
    int sent;
    int served;
    int refused;
    int moved;

    int unanswered() {
      return sent - served - refused;
    }
  }

  private final Map<String, ProxyCounts> counts = new TreeMap<>();
  private final Map<String, String> proxiesByFlow = new HashMap<>();
  private int timesServed;

  @Override
  public void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      proxiesByFlow.put(sent.flow(), sent.proxy());
      countsOf(sent.proxy()).sent++;
    } else if (event instanceof Event.FlowAnswered answered) {
      ProxyCounts count = countsOf(proxiesByFlow.get(answered.flow()));
      if (answered.line().startsWith("UP ")) {
        count.served++;
      } else {
        count.refused++;
      }
    } else if (event instanceof Event.ClientServed) {
      timesServed++;
    } else if (event instanceof Event.ClientOver over && proxiesByFlow.containsKey(over.flow())) {
      countsOf(proxiesByFlow.get(over.flow())).moved += over.moved() ? 1 : 0;
    }
  }

  private ProxyCounts countsOf(String proxy) {
    return counts.computeIfAbsent(proxy, p -> new ProxyCounts());
  }

  /** Returns the counts by the proxies' names. */
  Map<String, ProxyCounts> counts() {
    return counts;
  }

  /** Returns how often a client was served. */
  int served() {
    return timesServed;
  }

  /** Returns the proxy to which a flow was sent, or null. */
  String proxyOf(String flow) {
    return proxiesByFlow.get(flow);
  }
}
