package brassbank.decide;

import ashspar.Balancer;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The connections that predecessors of this process still hold. The module counts them as this
 * process's own: budgets are then not spent twice, and the capacity that a moved client frees is
 * known before the target's next load report shows it. Not thread-safe.
 */
final class Predecessors {
  private final Balancer module;

  /** The connections of each predecessor, by process id and then by flow id. */
  private final Map<Long, Map<Long, EstablishedConnection>> connectionsByProcess = new HashMap<>();

  Predecessors(Balancer module) {
    this.module = module;
  }

  /**
   * Replaces the connections of a predecessor and reports the differences to the module.
   *
   * @param connections what the predecessor holds now, empty if it has ended
   */
  void update(
      long nowMicros,
      Balancer.Settings settings,
      long processId,
      List<EstablishedConnection> connections) {
    Map<Long, EstablishedConnection> current =
        connectionsByProcess.computeIfAbsent(processId, p -> new LinkedHashMap<>());
    Map<Long, EstablishedConnection> next = new LinkedHashMap<>();
    connections.forEach(connection -> next.put(connection.id(), connection));
    for (EstablishedConnection closed : current.values()) {
      if (!next.containsKey(closed.id())) {
        module.attemptEnded(
            nowMicros,
            new Balancer.Outcome(
                moduleFlowId(processId, closed),
                0,
                closed.target(),
                Outcome.SERVED.status,
                0,
                true,
                List.of()));
      }
    }
    current.keySet().retainAll(next.keySet());
    for (EstablishedConnection connection : connections) {
      // The module cannot count a flow whose class is not in these settings.
      if (settings.classes().stream().noneMatch(c -> c.name().equals(connection.flowClass()))) {
        continue;
      }
      long id = moduleFlowId(processId, connection);
      EstablishedConnection known = current.put(connection.id(), connection);
      if (known == null) {
        module.connectionResumed(
            nowMicros,
            new Balancer.Request(
                id,
                connection.key(),
                connection.group(),
                connection.flowClass(),
                connection.tenant(),
                0,
                connection.loadHint(),
                false,
                true,
                false),
            connection.target());
      }
      if (connection.load() >= 0 && (known == null || known.load() != connection.load())) {
        module.connectionMeasured(
            nowMicros,
            id,
            0,
            connection.target(),
            Balancer.MeasurementKind.LOAD,
            connection.load());
      }
    }
    if (current.isEmpty()) {
      connectionsByProcess.remove(processId);
    }
  }

  /** Returns an id for the module that no flow of this process has. */
  private static long moduleFlowId(long processId, EstablishedConnection connection) {
    return (processId << 40) + connection.id();
  }

  /** Returns how many connections of predecessors the module counts. */
  int connectionCount() {
    return connectionsByProcess.values().stream().mapToInt(Map::size).sum();
  }
}
