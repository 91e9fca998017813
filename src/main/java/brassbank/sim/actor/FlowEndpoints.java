package brassbank.sim.actor;

import brassbank.sim.net.Endpoint;
import brassbank.sim.time.RandomStreams;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The client's and the stream host's endpoint of each flow, by which the rules decide whether the
 * network or an actor delayed one of the two connections.
 */
public final class FlowEndpoints {
  private static final class Connections {
    private Endpoint client;
    private Endpoint host;
    private StreamHost at;
    private long clientBusyUntil;
  }

  private final Map<String, Connections> flows = new HashMap<>();

  /** Proxies of the established flows, by flow, the oldest first. */
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

  /** Returns an established flow of this proxy, or null where there is none. */
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

  /** Records that the client does not read, or reads slowly, until a time. */
  void markClientBusy(String flow, long until) {
    Connections legs = flows.computeIfAbsent(flow, f -> new Connections());
    legs.clientBusyUntil = Math.max(legs.clientBusyUntil, until);
  }

  /** Returns since when neither the network nor the client has delayed the client's connection. */
  public long clientCalmSince(String flow) {
    Connections legs = flows.get(flow);
    if (legs == null || legs.client == null) {
      return 0;
    }
    return Math.max(legs.clientBusyUntil, legs.client.undisturbedSince());
  }

  /**
   * Returns since when neither the network nor the stream host has delayed the host's connection.
   */
  public long hostCalmSince(String flow) {
    Connections legs = flows.get(flow);
    return legs == null || legs.host == null
        ? 0
        : Math.max(legs.at.pausedUntil(), legs.host.undisturbedSince());
  }
}
