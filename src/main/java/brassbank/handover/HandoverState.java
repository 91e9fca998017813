package brassbank.handover;

import brassbank.decide.EstablishedConnection;
import brassbank.decide.TargetList;
import java.util.List;
import java.util.Set;

/**
 * The state that a process publishes for its successor.
 *
 * @param descriptorLimit how many file descriptors of any kind the process may hold from now on
 * @param standby whether operators have put the process on standby, which its successor keeps
 * @param flowIds the ids, as chosen by the clients, of the flows that are pending or established in
 *     the process; the successor must not accept a second flow with one of them
 * @param targets the target list that discovery last reported to the process, so that a status
 *     reported to one process also binds the other
 * @param connections the established connections of the process
 */
public record HandoverState(
    int descriptorLimit,
    boolean standby,
    Set<String> flowIds,
    List<TargetList.Entry> targets,
    List<EstablishedConnection> connections) {
  /** The state of a process that has stopped. */
  public static final HandoverState EMPTY =
      new HandoverState(0, false, Set.of(), List.of(), List.of());
}
