package brassbank.sim.check;

import brassbank.sim.event.Event;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * No established connection is cut off without {@code MOVE} while its stream host still answers,
 * whatever the proxy does, its planned shutdown included.
 */
final class NoUnannouncedDisconnect extends Rule {
  private final Map<String, String> openFlows = new HashMap<>();
  private final Set<String> endedByHost = new HashSet<>();
  private final Set<String> killed = new HashSet<>();

  NoUnannouncedDisconnect() {
    super("no connection cut off without MOVE");
  }

  @Override
  void onEvent(long now, Event event) {
    if (event instanceof Event.FlowSent sent) {
      openFlows.put(sent.flow(), sent.proxy());
    } else if (event instanceof Event.HostEnded ended && ended.stood()) {
      endedByHost.add(ended.flow());
    } else if (event instanceof Event.ClientLeft left) {
      openFlows.remove(left.flow());
    } else if (event instanceof Event.ProxyKilled proxy) {
      openFlows.forEach(
          (flow, holder) -> {
            if (holder.equals(proxy.proxy())) {
              killed.add(flow);
            }
          });
    } else if (event instanceof Event.ClientSawEnd end) {
      String proxy = openFlows.remove(end.flow());
      if (end.served()
          && !end.moved()
          && proxy != null
          && !endedByHost.contains(end.flow())
          && !killed.contains(end.flow())
          && !wasDisturbed(now, end.flow())) {
        reportBreach(now, end.flow() + " was cut off by " + proxy + " without MOVE");
      }
    }
  }

  private boolean wasDisturbed(long now, String flow) {
    long calm = Math.max(groundTruth.clientCalmSince(flow), groundTruth.hostCalmSince(flow));
    return now - calm < 7 * SECOND;
  }
}
