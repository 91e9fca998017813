package brassbank.handover;

import brassbank.decide.Standing;
import java.util.List;

/**
 * What a process holds, as its successor must know it.
 *
 * @param descriptors as many as it may hold from now on, of whatever kind
 * @param standing its connections
 */
public record Holding(int descriptors, List<Standing> standing) {
  /** What a process holds that is gone. */
  static final Holding NOTHING = new Holding(0, List.of());
}
