package ashspar.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * The groups of connections that a server holds for this node. A server pays the cost of a group
 * once, however many of its connections it holds, so a group should be on few servers. Servers that
 * already hold the group have the highest affinity. Otherwise all nodes prefer the same servers
 * without communication, by highest random weight (Thaler and Ravishankar, "Using Name-Based
 * Mappings to Increase Hit Rates", 1998).
 *
 * <p>All operations take constant time. Not thread-safe.
 */
public final class AffinityGroups {
  /**
   * The part of the affinity that depends on whether the server holds the group; the random weight
   * makes up the rest.
   */
  private static final double HOLDER_AFFINITY = 0.75;

  private final int serverHash;
  private final Map<String, Integer> counts = new HashMap<>();

  /** Creates the record of one server. All nodes must use the same id for it. */
  public AffinityGroups(String serverId) {
    serverHash = serverId.hashCode();
  }

  /**
   * Returns the affinity of the server for connections of this group, from 0 to 1; 0 if {@code
   * group} is null.
   *
   * @param seen the fraction of the group's holders that this node knows of, above 0 and at most 1
   */
  double affinity(String group, double seen) {
    if (group == null) {
      return 0;
    }
    double holderAffinity = HOLDER_AFFINITY * seen;
    return (1 - holderAffinity) * rendezvousWeight(group)
        + (counts.containsKey(group) ? holderAffinity : 0);
  }

  /**
   * Returns a pseudo-random number from 0 to 1 for the pair of server and group, by the finalizer
   * of SplitMix64.
   */
  private double rendezvousWeight(String group) {
    long mix = (group.hashCode() * 0x9E3779B97F4A7C15L) ^ (serverHash * 0xC2B2AE3D27D4EB4FL);
    mix = (mix ^ (mix >>> 30)) * 0xBF58476D1CE4E5B9L;
    mix = (mix ^ (mix >>> 27)) * 0x94D049BB133111EBL;
    return ((mix ^ (mix >>> 31)) >>> 11) * 0x1.0p-53;
  }

  /**
   * Returns whether the server holds no connection of this group; false if {@code group} is null.
   */
  public boolean isNew(String group) {
    return group != null && !counts.containsKey(group);
  }

  /**
   * Returns whether the server holds exactly one connection of this group for this node; false if
   * {@code group} is null.
   */
  public boolean isLastConnection(String group) {
    return group != null && counts.getOrDefault(group, 0) == 1;
  }

  /** Returns the number of groups held. */
  public int size() {
    return counts.size();
  }

  /** Counts a connection of the group; ignored if {@code group} is null. */
  public void connectionAdded(String group) {
    if (group != null) {
      counts.merge(group, 1, Integer::sum);
    }
  }

  /** Removes a connection of the group; ignored if {@code group} is null. */
  public void connectionRemoved(String group) {
    if (group != null) {
      counts.computeIfPresent(group, (g, count) -> count > 1 ? count - 1 : null);
    }
  }

  /**
   * The number of turns by which a server may be chosen early for a group it has affinity for. It
   * grows with the mean load between the two bounds below. A server chosen early waits
   * correspondingly longer for its next turn, so that all servers keep their share.
   */
  private static final double MIN_TURNS_EARLY = 0.1;

  private static final double MAX_TURNS_EARLY = 8;
  private static final double EARLY_GROWTH_FROM_LOAD = 0.4;
  private static final double EARLY_GROWTH_TO_LOAD = 0.7;

  /** Returns the number of turns by which a server may be chosen early at this mean load. */
  public static double maxTurnsEarly(double meanLoad) {
    double load =
        (meanLoad - EARLY_GROWTH_FROM_LOAD) / (EARLY_GROWTH_TO_LOAD - EARLY_GROWTH_FROM_LOAD);
    return MIN_TURNS_EARLY
        + (MAX_TURNS_EARLY - MIN_TURNS_EARLY) * (load > 0 ? Math.min(1, load) : 0);
  }

  /**
   * Returns a hash of a server id by which all nodes order servers identically, without agreement.
   */
  public static int orderingHash(String server) {
    int hash = server.hashCode() * 0x9E3779B1;
    return hash ^ (hash >>> 15);
  }
}
