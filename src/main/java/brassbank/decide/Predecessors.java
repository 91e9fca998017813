package brassbank.decide;

import ashspar.Balancer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The connections that earlier generations of this proxy's process still hold. The module is told
 * of them as if they were this process's own: budgets are then not doubled, and the room that a
 * moved client leaves is known before the next report shows it. For one thread at a time.
 */
final class Predecessors {
  private final Balancer module;

  /** What each of them holds, by its flows' ids. */
  private final Map<Long, Map<Long, EstablishedConnection>> shadows = new HashMap<>();

  Predecessors(Balancer module) {
    this.module = module;
  }

  /** What the process holds from now on; nothing, where it has ended. */
  void holds(
      long now, Balancer.Settings settings, long process, List<EstablishedConnection> standing) {
    Map<Long, EstablishedConnection> before =
        shadows.computeIfAbsent(process, p -> new LinkedHashMap<>());
    Map<Long, EstablishedConnection> next = new LinkedHashMap<>();
    standing.forEach(one -> next.put(one.id(), one));
    for (EstablishedConnection gone : before.values()) {
      if (!next.containsKey(gone.id())) {
        module.attemptEnded(
            now,
            new Balancer.Outcome(
                shadow(process, gone),
                0,
                gone.target(),
                Outcome.SERVED.status,
                0,
                true,
                List.of()));
      }
    }
    before.keySet().retainAll(next.keySet());
    for (EstablishedConnection one : standing) {
      // A class that these settings do not know is none that the module could count.
      if (settings.classes().stream().noneMatch(c -> c.name().equals(one.flowClass()))) {
        continue;
      }
      long id = shadow(process, one);
      EstablishedConnection known = before.put(one.id(), one);
      if (known == null) {
        module.connectionResumed(
            now,
            new Balancer.Request(
                id,
                one.key(),
                one.group(),
                one.flowClass(),
                one.tenant(),
                0,
                one.loadHint(),
                false,
                true,
                false),
            one.target());
      }
      if (one.load() >= 0 && (known == null || known.load() != one.load())) {
        module.connectionMeasured(
            now, id, 0, one.target(), Balancer.MeasurementKind.LOAD, one.load());
      }
    }
    if (before.isEmpty()) {
      shadows.remove(process);
    }
  }

  /** An id that no flow of this process's own has. */
  private static long shadow(long process, EstablishedConnection one) {
    return (process << 40) + one.id();
  }

  /** How many connections the module is told of. */
  int counted() {
    return shadows.values().stream().mapToInt(Map::size).sum();
  }
}
