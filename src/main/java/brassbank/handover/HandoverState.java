package brassbank.handover;

import brassbank.decide.EstablishedConnection;
import brassbank.decide.TargetList;
import java.util.List;
import java.util.Set;

/**
 * What a process holds, as its successor must know it.
 *
 * @param descriptorLimit as many as it may hold from now on, of whatever kind
 * @param standby whether operators have sent its clients away: its successor stays so
 * @param flowIds of the flows that wait or stand there, as their clients have them: an id is one
 *     flow's
 * @param targets the list as it was last told, so that what one process was told binds the other
 * @param connections its connections
 */
public record HandoverState(
    int descriptorLimit,
    boolean standby,
    Set<String> flowIds,
    List<TargetList.Entry> targets,
    List<EstablishedConnection> connections) {
  /** What a process holds that is gone. */
  public static final HandoverState EMPTY =
      new HandoverState(0, false, Set.of(), List.of(), List.of());
}
