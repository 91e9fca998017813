package ashspar;

import ashspar.Balancer.ListKind;
import ashspar.Balancer.ServerEntry;
import ashspar.Balancer.State;
import ashspar.limits.Groups;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The list of servers as discovery tells it: joins, restarts, drains and ends. */
final class Fleet {
  private static final long SAME_START = 100 * Node.MS; // clocks are mapped anew each time

  private final Node node;
  private boolean listed;

  Fleet(Node node) {
    this.node = node;
  }

  /** A list has come: what it says is taken over, and those that join get their weights. */
  void take(ListKind kind, List<ServerEntry> entries) {
    boolean joined = false;
    Map<String, Server> missing = new HashMap<>(kind == ListKind.DELTA ? Map.of() : node.servers);
    for (ServerEntry entry : entries) {
      missing.remove(entry.id());
      joined |= entry(entry);
    }
    for (Server s : List.copyOf(node.ready)) {
      if (missing.containsKey(s.id)) {
        remove(s);
      }
    }
    if (!listed && !node.ready.isEmpty()) {
      listed = true;
      firstTurns();
    } else if (joined) {
      node.weights.recompute();
    }
  }

  private boolean entry(ServerEntry entry) {
    Server s = node.servers.get(entry.id());
    if (entry.state() == State.GONE) {
      if (s != null) {
        remove(s);
      }
      return false;
    }
    if (s == null) {
      s = new Server(entry.id(), node.limits.join(entry.id()));
      node.servers.put(s.id, s);
    }
    s.own = node.own == null || node.own.contains(s.id);
    s.zone = entry.zone();
    s.cell = entry.cell();
    s.size = entry.size() > 0 && entry.size() < 1e9 ? entry.size() : s.size;
    boolean restarted = entry.startedAtMicros() > s.since + SAME_START;
    s.since = entry.startedAtMicros();
    if (entry.state() == State.DRAINING) {
      leave(s, State.DRAINING);
      return false;
    }
    if (s.state == State.READY && !restarted) {
      return false;
    }
    if (s.state != State.READY) {
      node.ready.add(s);
      node.limits.ready(s.limits, true);
    }
    s.state = State.READY;
    s.quiesced = false;
    s.reportAt = Long.MIN_VALUE / 2;
    s.index = 1;
    node.admission.started(s);
    s.limits.started(node.admission.warmth(s) < 1, node.sized() ? s.size : 0);
    s.weight = 0;
    node.wheels.commit(s, node.weights.meanWeight() * node.weights.nearness(s));
    node.wheels.enqueue(s);
    return true;
  }

  private void remove(Server s) {
    leave(s, State.GONE);
    node.servers.remove(s.id);
  }

  private void leave(Server s, State state) {
    node.ready.remove(s);
    node.limits.ready(s.limits, false);
    s.state = state;
    node.wheels.unpark(s);
    node.wheels.retire(s);
  }

  /** Nodes begin at evenly spaced places of one common order, so that their first turns differ. */
  private void firstTurns() {
    List<Server> order = new ArrayList<>(node.ready);
    order.sort(Comparator.comparingInt((Server s) -> Groups.number(s.id)).thenComparing(s -> s.id));
    node.weights.meanSize = order.stream().mapToDouble(s -> s.size).average().orElse(1);
    double start = node.settings.rank() / (double) node.settings.nodeCount();
    for (int i = 0; i < order.size(); i++) {
      Server s = order.get(i);
      double place = (i + 0.5) / order.size() - start;
      s.weight = s.size / node.weights.meanSize * node.weights.nearness(s);
      node.wheels.begin(s, place - Math.floor(place));
    }
    node.wheels.rebuild();
  }
}
