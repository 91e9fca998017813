package brassbank.handover;

import brassbank.decide.EstablishedConnection;
import brassbank.decide.TargetList;
import java.util.List;
import java.util.Set;

/**
 * What a process holds, as its successor must know it.
 *
 * @param descriptors as many as it may hold from now on, of whatever kind
 * @param standby whether operators have sent its clients away: its successor stays so
 * @param ids of the flows that wait or stand there, as their clients have them: an id is one flow's
 * @param targets the list as it was last told, so that what one process was told binds the other
 * @param standing its connections
 */
public record Holding(
    int descriptors,
    boolean standby,
    Set<String> ids,
    List<TargetList.Entry> targets,
    List<EstablishedConnection> standing) {
  /** What a process holds that is gone. */
  public static final Holding NOTHING = new Holding(0, false, Set.of(), List.of(), List.of());
}
