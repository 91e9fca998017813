package brassbank.decide;

import static brassbank.log.Field.target;
import static brassbank.log.Field.value;

import ashspar.Balancer;
import brassbank.log.Log;
import brassbank.subsets.Peer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The target group as discovery last reported it. Not thread-safe. */
final class TargetGroup {
  private static final Log LOG = Log.of("decide");

  private final FlowClock clock;
  private final Map<String, Target> targets = new HashMap<>();
  private final Map<String, TargetList.Entry> entries = new LinkedHashMap<>();

  TargetGroup(FlowClock clock) {
    this.clock = clock;
  }

  /** Returns the target of this name, or null if it is unknown. */
  Target get(String name) {
    return targets.get(name);
  }

  /** Whether discovery reports the target as accepting new flows. */
  boolean isServing(String name) {
    TargetList.Entry entry = entries.get(name);
    return entry != null && entry.status() == TargetList.Status.SERVING;
  }

  boolean isEmpty() {
    return targets.isEmpty();
  }

  /** Returns a copy of the entries that discovery reported. */
  List<TargetList.Entry> entries() {
    return List.copyOf(entries.values());
  }

  /** Returns the names and zones of the targets, for the selection of a subset. */
  List<Peer> peers() {
    return entries.values().stream().map(entry -> new Peer(entry.name(), entry.zone())).toList();
  }

  /**
   * Applies a list or a list of changes.
   *
   * @param onRemoved receives the name of each target that the list reports as deleted
   * @return the entries of the list in the module's form
   */
  List<Balancer.ServerEntry> apply(
      TargetList list, Balancer.ListKind kind, Consumer<String> onRemoved) {
    if (kind != Balancer.ListKind.DELTA) {
      targets.clear();
      entries.clear();
    }
    List<Balancer.ServerEntry> servers = new ArrayList<>(list.entries().size());
    for (TargetList.Entry entry : list.entries()) {
      if (kind == Balancer.ListKind.DELTA) {
        LOG.info(
            "target-changed",
            target(entry.name()),
            value("status", entry.status()),
            value("since_ms", entry.startUnixMillis()));
      }
      if (entry.status() == TargetList.Status.DELETED) {
        targets.remove(entry.name());
        entries.remove(entry.name());
        onRemoved.accept(entry.name());
      } else {
        targets.put(entry.name(), new Target(entry.name(), entry.address()));
        entries.put(entry.name(), entry);
      }
      servers.add(
          new Balancer.ServerEntry(
              entry.name(),
              entry.zone(),
              entry.type(),
              entry.group(),
              state(entry.status()),
              entry.weight(),
              clock.fromUnixMillis(entry.startUnixMillis())));
    }
    return servers;
  }

  private static Balancer.State state(TargetList.Status status) {
    return switch (status) {
      case SERVING -> Balancer.State.READY;
      case DRAINING -> Balancer.State.DRAINING;
      case DELETED -> Balancer.State.GONE;
    };
  }
}
