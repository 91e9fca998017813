package ashspar;

import ashspar.Balancer.ListKind;
import ashspar.Balancer.ServerEntry;
import ashspar.Balancer.State;
import ashspar.limits.AffinityGroups;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Follows discovery's list of servers: servers that join, restart, drain or are removed. */
final class ServerList {
  // Start times vary by less than this when they are converted between clocks.
  private static final long SAME_START = 100 * Node.MS;

  private final Node node;
  private boolean hasServers;

  ServerList(Node node) {
    this.node = node;
  }

  /** Applies a list. Servers that join are assigned a weight. */
  void apply(ListKind kind, List<ServerEntry> entries) {
    boolean joined = false;
    Map<String, Server> missing = new HashMap<>(kind == ListKind.DELTA ? Map.of() : node.servers);
    for (ServerEntry entry : entries) {
      missing.remove(entry.id());
      joined |= applyEntry(entry);
    }
    for (Server s : List.copyOf(node.readyServers)) {
      if (missing.containsKey(s.id)) {
        remove(s);
      }
    }
    if (!hasServers && !node.readyServers.isEmpty()) {
      hasServers = true;
      scheduleFirstTurns();
    } else if (joined) {
      node.weights.recompute();
    }
  }

  /** Applies one entry; returns whether the server has joined or restarted. */
  private boolean applyEntry(ServerEntry entry) {
    Server s = node.servers.get(entry.id());
    if (entry.state() == State.GONE) {
      if (s != null) {
        remove(s);
      }
      return false;
    }
    if (s == null) {
      s = new Server(entry.id(), node.limits.newServer(entry.id()));
      node.servers.put(s.id, s);
    }
    s.inSubset = node.subset == null || node.subset.contains(s.id);
    s.zone = entry.zone();
    s.cell = entry.cell();
    s.size = entry.size() > 0 && entry.size() < 1e9 ? entry.size() : s.size;
    boolean restarted = entry.startedAtMicros() > s.startedAt + SAME_START;
    s.startedAt = entry.startedAtMicros();
    if (entry.state() == State.DRAINING) {
      withdraw(s, State.DRAINING);
      return false;
    }
    if (s.state == State.READY && !restarted) {
      return false;
    }
    if (s.state != State.READY) {
      node.readyServers.add(s);
      node.limits.setReady(s.limits, true);
    }
    s.state = State.READY;
    s.quiesced = false;
    s.reportedAt = Long.MIN_VALUE / 2;
    s.index = 1;
    node.admission.serverStarted(s);
    s.limits.started(node.admission.warmth(s) < 1, node.hasNominalSizes() ? s.size : 0);
    s.weight = 0;
    node.roundRobin.setWeight(s, node.weights.meanWeight() * node.weights.zoneFactor(s));
    node.roundRobin.schedule(s);
    return true;
  }

  private void remove(Server s) {
    withdraw(s, State.GONE);
    node.servers.remove(s.id);
  }

  /** Stops new placements on a server that drains or is removed. */
  private void withdraw(Server s, State state) {
    node.readyServers.remove(s);
    node.limits.setReady(s.limits, false);
    s.state = state;
    node.roundRobin.unpark(s);
    node.roundRobin.remove(s);
  }

  /**
   * Schedules the first turns. All nodes order the servers in the same way and start at evenly
   * spaced positions of that order, so that their first placements go to different servers.
   */
  private void scheduleFirstTurns() {
    List<Server> order = new ArrayList<>(node.readyServers);
    order.sort(
        Comparator.comparingInt((Server s) -> AffinityGroups.orderingHash(s.id))
            .thenComparing(s -> s.id));
    node.weights.meanSize = order.stream().mapToDouble(s -> s.size).average().orElse(1);
    double start = node.settings.rank() / (double) node.settings.nodeCount();
    for (int i = 0; i < order.size(); i++) {
      Server s = order.get(i);
      double offset = (i + 0.5) / order.size() - start;
      s.weight = s.size / node.weights.meanSize * node.weights.zoneFactor(s);
      node.roundRobin.setFirstTurn(s, offset - Math.floor(offset));
    }
    node.roundRobin.rescheduleAll();
  }
}
