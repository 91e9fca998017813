package brassbank.decide;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The open flows of this process in order of arrival: those that are owed a final answer and those
 * whose connections are established. A flow is added once and removed once. Not thread-safe.
 */
final class FlowTable {
  private final Map<Long, FlowEntry> entries = new LinkedHashMap<>();

  void add(FlowEntry entry) {
    entries.put(entry.flow.id(), entry);
  }

  /** Returns the entry of an open flow, or null. */
  FlowEntry get(long flow) {
    return entries.get(flow);
  }

  /** Returns the entry of a flow whose connection is established, or null. */
  FlowEntry getEstablished(long flow) {
    FlowEntry entry = entries.get(flow);
    return entry != null && entry.stage == FlowEntry.Stage.ESTABLISHED ? entry : null;
  }

  /** Removes a flow. All removals go through this method. */
  void remove(FlowEntry entry) {
    entries.remove(entry.flow.id());
  }

  int size() {
    return entries.size();
  }

  /** Returns a copy of all open flows. */
  List<FlowEntry> openFlows() {
    return List.copyOf(entries.values());
  }

  /**
   * Returns the flows that a drain may close: pending ones first, since this proxy does not serve
   * them, then established ones. Flows with an outstanding forward are left out.
   */
  List<FlowEntry> drainOrder() {
    List<FlowEntry> flows = new ArrayList<>(entries.size());
    entries.values().stream().filter(e -> e.stage == FlowEntry.Stage.PENDING).forEach(flows::add);
    flows.addAll(establishedFlows());
    return flows;
  }

  /** Returns a copy of the flows whose connections are established. */
  List<FlowEntry> establishedFlows() {
    return entries.values().stream().filter(e -> e.stage == FlowEntry.Stage.ESTABLISHED).toList();
  }

  /** Returns all established connections. */
  List<EstablishedConnection> establishedConnections() {
    return establishedFlows().stream().map(FlowEntry::toEstablishedConnection).toList();
  }
}
