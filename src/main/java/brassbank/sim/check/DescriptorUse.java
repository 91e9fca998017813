package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A proxy never reaches its limit of descriptors, and releases those that it no longer needs: in
 * addition to two for each open or waiting connection it holds no more than its probes and its
 * calls need.
 */
final class DescriptorUse extends Rule {
  /** A closed connection may keep its descriptor for this time. */
  private static final long LINGER_MICROS = 8 * SECOND;

  /** Idle probe connections to each host. */
  private static final int DESCRIPTORS_PER_HOST = 4;

  /** Listening sockets, calls to discovery and connections that are being closed. */
  private static final int BASE_DESCRIPTORS = 70;

  private final Checks.RuleParameters figures;
  private final Map<String, String> proxyOfFlow = new HashMap<>();
  private final Map<String, Integer> flows = new HashMap<>();
  private final Map<String, Long> overSince = new LinkedHashMap<>();
  private boolean faultsAreOver;

  DescriptorUse(Checks.RuleParameters figures) {
    super("descriptors within their limits and given back");
    this.figures = figures;
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.DescriptorsExhausted exhausted) {
      reportBreach(now, exhausted.proxy() + " met its limit: " + exhausted.held());
    } else if (event instanceof Event.FlowSent sent) {
      proxyOfFlow.put(sent.flow(), sent.proxy());
      flows.merge(sent.proxy(), 1, Integer::sum);
    } else if (event instanceof Event.FlowAnswered answered && !answered.line().startsWith("UP ")) {
      flowClosed(answered.flow());
    } else if (event instanceof Event.ClientSawEnd end) {
      flowClosed(end.flow());
    } else if (event instanceof Event.ClientLeft left) {
      flowClosed(left.flow());
    } else if (event instanceof Event.ProxyStarted started) {
      overSince.put(started.proxy(), -1L);
    } else if (event instanceof Event.AllFaultsOver) {
      faultsAreOver = true;
    }
  }

  private void flowClosed(String flow) {
    String proxy = proxyOfFlow.remove(flow);
    if (proxy != null) {
      flows.merge(proxy, -1, Integer::sum);
    }
  }

  @Override
  void onTick(long now) {
    overSince.replaceAll(
        (proxy, since) -> {
          int needed =
              2 * flows.getOrDefault(proxy, 0)
                  + DESCRIPTORS_PER_HOST * figures.hosts()
                  + BASE_DESCRIPTORS;
          if (!faultsAreOver || groundTruth.descriptors(proxy) <= needed) {
            return -1L;
          }
          if (since >= 0 && now - since > LINGER_MICROS) {
            reportBreach(
                now,
                proxy
                    + " holds "
                    + groundTruth.descriptors(proxy)
                    + " descriptors and needs "
                    + needed);
          }
          return since < 0 ? now : since;
        });
  }
}
