package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Four seconds after the call for standby a proxy holds no client, until it is called back. */
final class StandbyEmpty extends Rule {
  private static final long WITHIN = 4 * SECOND;

  /** Which proxy a flow was sent to. */
  private final Map<String, String> proxies = new HashMap<>();

  private final Set<String> served = new HashSet<>();
  private final Map<String, Long> standby = new HashMap<>();

  StandbyEmpty() {
    super("a proxy on standby holds no client");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      proxies.put(sent.flow(), sent.proxy());
    } else if (event instanceof Event.ClientServed client) {
      served.add(client.flow());
    } else if (event instanceof Event.ClientSawEnd end) {
      gone(end.flow());
    } else if (event instanceof Event.ClientLeft left) {
      gone(left.flow());
    } else if (event instanceof Event.ProxyOnStandby proxy) {
      standby.put(proxy.proxy(), now);
    } else if (event instanceof Event.ProxyCalledBack proxy) {
      standby.remove(proxy.proxy());
    } else if (event instanceof Event.ProxyKilled proxy) {
      standby.remove(proxy.proxy());
    } else if (event instanceof Event.ProxyExited proxy) {
      standby.remove(proxy.proxy());
    }
  }

  private void gone(String flow) {
    proxies.remove(flow);
    served.remove(flow);
  }

  @Override
  void onTick(long now) {
    if (standby.isEmpty()) {
      return;
    }
    for (String flow : served) {
      String proxy = proxies.get(flow);
      Long since = standby.get(proxy);
      if (since == null || now - since <= WITHIN) {
        continue;
      }
      long calm = Math.max(truth.clientCalmSince(flow), truth.proxyCalmSince(proxy));
      if (now - Math.max(since, calm) > WITHIN + truth.slack()) {
        reportBreach(
            now, flow + " is held by " + proxy + ", on standby since " + since / 1e6 + " s");
      }
    }
  }
}
