package ashspar.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Which groups of connections a server holds for this node. A server pays for a group once, however
 * many of its connections it holds, so that a group belongs on few servers. One that holds it
 * already is liked best; where none does, all nodes like the same servers, by highest random weight
 * (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), without a word
 * between them.
 *
 * <p>Calls cost constant time. For one thread at a time.
 */
public final class AffinityGroups {
  /**
   * How much more a server is liked that holds the group, against all that random weights differ.
   */
  private static final double HOLDER_AFFINITY = 0.75;

  private final int serverHash;
  private final Map<String, Integer> counts = new HashMap<>();

  /** The groups of one server, which every node must know by the same id. */
  public AffinityGroups(String serverId) {
    serverHash = serverId.hashCode();
  }

  /**
   * How much a connection of this group is liked here, from 0 to 1; 0 where it has no group.
   *
   * @param seen the part that this node sees of who holds it, from above 0 to 1
   */
  double affinity(String group, double seen) {
    if (group == null) {
      return 0;
    }
    double holds = HOLDER_AFFINITY * seen;
    return (1 - holds) * rendezvousWeight(group) + (counts.containsKey(group) ? holds : 0);
  }

  /** A number from 0 to 1 that a server and a group have together (the finalizer of SplitMix64). */
  private double rendezvousWeight(String group) {
    long mix = (group.hashCode() * 0x9E3779B97F4A7C15L) ^ (serverHash * 0xC2B2AE3D27D4EB4FL);
    mix = (mix ^ (mix >>> 30)) * 0xBF58476D1CE4E5B9L;
    mix = (mix ^ (mix >>> 27)) * 0x94D049BB133111EBL;
    return ((mix ^ (mix >>> 31)) >>> 11) * 0x1.0p-53;
  }

  /** Whether a connection of this group would be its first here; false where it has no group. */
  public boolean isNew(String group) {
    return group != null && !counts.containsKey(group);
  }

  /**
   * Whether this node holds just one connection of this group here; false where it has no group.
   */
  public boolean isLastConnection(String group) {
    return group != null && counts.getOrDefault(group, 0) == 1;
  }

  /** How many groups are held. */
  public int size() {
    return counts.size();
  }

  public void connectionAdded(String group) {
    if (group != null) {
      counts.merge(group, 1, Integer::sum);
    }
  }

  public void connectionRemoved(String group) {
    if (group != null) {
      counts.computeIfPresent(group, (g, count) -> count > 1 ? count - 1 : null);
    }
  }

  /**
   * By how many turns a server may be early for a request whose group it is liked for, on the
   * ordinary path and in a full fleet, and the mean loads between which that grows. Who was early
   * waits longer for the next turn, so that all get their share.
   */
  private static final double MIN_TURNS_EARLY = 0.1;

  private static final double MAX_TURNS_EARLY = 8;
  private static final double EARLY_GROWTH_FROM_LOAD = 0.4;
  private static final double EARLY_GROWTH_TO_LOAD = 0.7;

  /** By how many turns, where the servers' mean load is this. */
  public static double maxTurnsEarly(double meanLoad) {
    double load =
        (meanLoad - EARLY_GROWTH_FROM_LOAD) / (EARLY_GROWTH_TO_LOAD - EARLY_GROWTH_FROM_LOAD);
    return MIN_TURNS_EARLY
        + (MAX_TURNS_EARLY - MIN_TURNS_EARLY) * (load > 0 ? Math.min(1, load) : 0);
  }

  /** A number that all nodes have for a server, for an order that no one has to agree on. */
  public static int orderingHash(String server) {
    int hash = server.hashCode() * 0x9E3779B1;
    return hash ^ (hash >>> 15);
  }
}
