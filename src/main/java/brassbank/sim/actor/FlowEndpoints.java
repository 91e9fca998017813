package brassbank.sim.actor;

import brassbank.sim.net.Endpoint;
import brassbank.sim.time.RandomStreams;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Where each flow's two connections end, client and stream host, which no one but the checks may
 * know: whether the network was to blame for what was late on one of them.
 */
public final class FlowEndpoints {
  private static final class Connections {
    private Endpoint client;
    private Endpoint host;
    private StreamHost at;
    private long clientBusyUntil;
  }

  private final Map<String, Connections> flows = new HashMap<>();

  /** Flows that stand, each with its proxy, the oldest first. */
  private final Map<String, String> openFlows = new LinkedHashMap<>();

  void setClient(String flow, Endpoint endpoint) {
    flows.computeIfAbsent(flow, f -> new Connections()).client = endpoint;
  }

  void setHost(String flow, Endpoint endpoint, StreamHost at) {
    Connections legs = flows.computeIfAbsent(flow, f -> new Connections());
    legs.host = endpoint;
    legs.at = at;
  }

  void opened(String flow, String proxy) {
    openFlows.put(flow, proxy);
  }

  void closed(String flow) {
    openFlows.remove(flow);
  }

  boolean isOpen(String flow) {
    return openFlows.containsKey(flow);
  }

  /** A flow that stands at this proxy, or null. */
  String anyOpen(String proxy, RandomStreams.Stream stream) {
    List<String> all = new ArrayList<>();
    openFlows.forEach(
        (flow, at) -> {
          if (at.equals(proxy)) {
            all.add(flow);
          }
        });
    return all.isEmpty() ? null : stream.pick(all);
  }

  /** The client does not read, or reads slowly, until then. */
  void markClientBusy(String flow, long until) {
    Connections legs = flows.computeIfAbsent(flow, f -> new Connections());
    legs.clientBusyUntil = Math.max(legs.clientBusyUntil, until);
  }

  /** Since when neither the network nor the client has held up the client's connection. */
  public long clientCalmSince(String flow) {
    Connections legs = flows.get(flow);
    if (legs == null || legs.client == null) {
      return 0;
    }
    return Math.max(legs.clientBusyUntil, legs.client.undisturbedSince());
  }

  /** Since when neither the network nor the stream host has held up its connection. */
  public long hostCalmSince(String flow) {
    Connections legs = flows.get(flow);
    return legs == null || legs.host == null
        ? 0
        : Math.max(legs.at.pausedUntil(), legs.host.undisturbedSince());
  }
}
