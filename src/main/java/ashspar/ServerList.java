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

/** The list of servers as discovery tells it: joins, restarts, drains and ends. */
final class ServerList {
  private static final long SAME_START = 100 * Node.MS; // clocks are mapped anew each time

  private final Node node;
  private boolean hasServers;

  ServerList(Node node) {
    this.node = node;
  }

  /** A list has come: what it says is taken over, and those that join get their weights. */
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

  private void withdraw(Server s, State state) {
    node.readyServers.remove(s);
    node.limits.setReady(s.limits, false);
    s.state = state;
    node.roundRobin.unpark(s);
    node.roundRobin.remove(s);
  }

  /** Nodes begin at evenly spaced places of one common order, so that their first turns differ. */
  private void scheduleFirstTurns() {
    List<Server> order = new ArrayList<>(node.readyServers);
    order.sort(
        Comparator.comparingInt((Server s) -> AffinityGroups.orderingHash(s.id))
            .thenComparing(s -> s.id));
    node.weights.meanSize = order.stream().mapToDouble(s -> s.size).average().orElse(1);
    double start = node.settings.rank() / (double) node.settings.nodeCount();
    for (int i = 0; i < order.size(); i++) {
      Server s = order.get(i);
      double place = (i + 0.5) / order.size() - start;
      s.weight = s.size / node.weights.meanSize * node.weights.zoneFactor(s);
      node.roundRobin.setFirstTurn(s, place - Math.floor(place));
    }
    node.roundRobin.rescheduleAll();
  }
}
