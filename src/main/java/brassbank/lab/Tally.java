package brassbank.lab;

import brassbank.sim.event.Event;
import brassbank.sim.event.Trace;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** What the clients had of each proxy, counted at the clients. */
final class Tally implements Trace.Listener {
  /** Of one proxy: flows sent, served, refused, without an answer, and clients moved by it. */
  static final class Count {
    int sent;
    int served;
    int refused;
    int moved;

    int unanswered() {
      return sent - served - refused;
    }
  }

  private final Map<String, Count> counts = new TreeMap<>();
  private final Map<String, String> proxies = new HashMap<>();
  private int standing;

  @Override
  public void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      proxies.put(sent.flow(), sent.proxy());
      of(sent.proxy()).sent++;
    } else if (event instanceof Event.FlowAnswered answered) {
      Count count = of(proxies.get(answered.flow()));
      if (answered.line().startsWith("UP ")) {
        count.served++;
      } else {
        count.refused++;
      }
    } else if (event instanceof Event.ClientServed) {
      standing++;
    } else if (event instanceof Event.ClientOver over && proxies.containsKey(over.flow())) {
      of(proxies.get(over.flow())).moved += over.moved() ? 1 : 0;
    }
  }

  private Count of(String proxy) {
    return counts.computeIfAbsent(proxy, p -> new Count());
  }

  /** By the proxies' names. */
  Map<String, Count> counts() {
    return counts;
  }

  /** Times a client was served. */
  int served() {
    return standing;
  }

  /** The proxy that a flow was sent to, or null. */
  String proxy(String flow) {
    return proxies.get(flow);
  }
}
