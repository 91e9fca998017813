package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Four seconds after it was put on standby a proxy holds no client, until it is returned to
 * service.
 */
final class StandbyDrained extends Rule {
  private static final long DRAIN_MICROS = 4 * SECOND;

  /** The proxy that each flow was sent to. */
  private final Map<String, String> proxyOfFlow = new HashMap<>();

  private final Set<String> served = new HashSet<>();
  private final Map<String, Long> standbySince = new HashMap<>();

  StandbyDrained() {
    super("a proxy on standby holds no client");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      proxyOfFlow.put(sent.flow(), sent.proxy());
    } else if (event instanceof Event.ClientServed client) {
      served.add(client.flow());
    } else if (event instanceof Event.ClientSawEnd end) {
      flowClosed(end.flow());
    } else if (event instanceof Event.ClientLeft left) {
      flowClosed(left.flow());
    } else if (event instanceof Event.ProxyOnStandby proxy) {
      standbySince.put(proxy.proxy(), now);
    } else if (event instanceof Event.ProxyCalledBack proxy) {
      standbySince.remove(proxy.proxy());
    } else if (event instanceof Event.ProxyKilled proxy) {
      standbySince.remove(proxy.proxy());
    } else if (event instanceof Event.ProxyExited proxy) {
      standbySince.remove(proxy.proxy());
    }
  }

  private void flowClosed(String flow) {
    proxyOfFlow.remove(flow);
    served.remove(flow);
  }

  @Override
  void onTick(long now) {
    if (standbySince.isEmpty()) {
      return;
    }
    for (String flow : served) {
      String proxy = proxyOfFlow.get(flow);
      Long since = standbySince.get(proxy);
      if (since == null || now - since <= DRAIN_MICROS) {
        continue;
      }
      long calm = Math.max(groundTruth.clientCalmSince(flow), groundTruth.proxyCalmSince(proxy));
      if (now - Math.max(since, calm) > DRAIN_MICROS + groundTruth.slack()) {
        reportBreach(
            now, flow + " is held by " + proxy + ", on standby since " + since / 1e6 + " s");
      }
    }
  }
}
