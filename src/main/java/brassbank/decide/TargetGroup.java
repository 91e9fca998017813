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

/** The target group as discovery told it. For one thread at a time. */
final class TargetGroup {
  private static final Log LOG = Log.of("decide");

  private final FlowClock clock;
  private final Map<String, Target> group = new HashMap<>();
  private final Map<String, TargetList.Entry> told = new LinkedHashMap<>();

  TargetGroup(FlowClock clock) {
    this.clock = clock;
  }

  /** Null where no such target is known. */
  Target get(String name) {
    return group.get(name);
  }

  /** Whether the target takes new flows, as far as is known. */
  boolean serves(String name) {
    TargetList.Entry entry = told.get(name);
    return entry != null && entry.status() == TargetList.Status.SERVING;
  }

  boolean isEmpty() {
    return group.isEmpty();
  }

  /** As discovery told it; a copy. */
  List<TargetList.Entry> told() {
    return List.copyOf(told.values());
  }

  /** The targets by name and zone, for those who choose among them. */
  List<Peer> peers() {
    return told.values().stream().map(entry -> new Peer(entry.name(), entry.zone())).toList();
  }

  /**
   * Takes a list over.
   *
   * @param gone hears of those that are no longer there, in a list of changes
   * @return the same for the module
   */
  List<Balancer.ServerEntry> take(TargetList list, Balancer.ListKind kind, Consumer<String> gone) {
    if (kind != Balancer.ListKind.DELTA) {
      group.clear();
      told.clear();
    }
    List<Balancer.ServerEntry> entries = new ArrayList<>(list.entries().size());
    for (TargetList.Entry entry : list.entries()) {
      if (kind == Balancer.ListKind.DELTA) {
        LOG.info(
            "target-changed",
            target(entry.name()),
            value("status", entry.status()),
            value("since_ms", entry.startUnixMillis()));
      }
      if (entry.status() == TargetList.Status.DELETED) {
        group.remove(entry.name());
        told.remove(entry.name());
        gone.accept(entry.name());
      } else {
        group.put(entry.name(), new Target(entry.name(), entry.address()));
        told.put(entry.name(), entry);
      }
      entries.add(
          new Balancer.ServerEntry(
              entry.name(),
              entry.zone(),
              entry.type(),
              entry.group(),
              state(entry.status()),
              entry.weight(),
              clock.ofUnixMillis(entry.startUnixMillis())));
    }
    return entries;
  }

  private static Balancer.State state(TargetList.Status status) {
    return switch (status) {
      case SERVING -> Balancer.State.READY;
      case DRAINING -> Balancer.State.DRAINING;
      case DELETED -> Balancer.State.GONE;
    };
  }
}
