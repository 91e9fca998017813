package brassbank.lab;

import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** What the clients had of each proxy, counted at the clients. */
final class ClientStatistics implements Trace.Listener {
  /** Of one proxy: flows sent, served, refused, without an answer, and clients moved by it. */
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

  /** By the proxies' names. */
  Map<String, ProxyCounts> counts() {
    return counts;
  }

  /** Times a client was served. */
  int served() {
    return timesServed;
  }

  /** The proxy that a flow was sent to, or null. */
  String proxyOf(String flow) {
    return proxiesByFlow.get(flow);
  }
}
