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
public final class Groups {
  /**
   * How much more a server is liked that holds the group, against all that random weights differ.
   */
  private static final double HOLDS = 0.75;

  private final int server;
  private final Map<String, Integer> counts = new HashMap<>();

  /** The groups of one server, which every node must know by the same id. */
  public Groups(String serverId) {
    server = serverId.hashCode();
  }

  /**
   * How much a connection of this group is liked here, from 0 to 1; 0 where it has no group.
   *
   * @param seen the part that this node sees of who holds it, from above 0 to 1
   */
  double liking(String group, double seen) {
    if (group == null) {
      return 0;
    }
    double holds = HOLDS * seen;
    return (1 - holds) * weight(group) + (counts.containsKey(group) ? holds : 0);
  }

  /** A number from 0 to 1 that a server and a group have together (the finalizer of SplitMix64). */
  private double weight(String group) {
    long mix = (group.hashCode() * 0x9E3779B97F4A7C15L) ^ (server * 0xC2B2AE3D27D4EB4FL);
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
  public boolean isLone(String group) {
    return group != null && counts.getOrDefault(group, 0) == 1;
  }

  /** How many groups are held. */
  public int size() {
    return counts.size();
  }

  public void joined(String group) {
    if (group != null) {
      counts.merge(group, 1, Integer::sum);
    }
  }

  public void left(String group) {
    if (group != null) {
      counts.computeIfPresent(group, (g, count) -> count > 1 ? count - 1 : null);
    }
  }

  /**
   * By how many turns a server may be early for a request whose group it is liked for, on the
   * ordinary path and in a full fleet, and the mean loads between which that grows. Who was early
   * waits longer for the next turn, so that all get their share.
   */
  private static final double EARLY_LEAST = 0.1;

  private static final double EARLY = 8;
  private static final double EARLY_FROM = 0.4;
  private static final double EARLY_FULL = 0.7;

  /** By how many turns, where the servers' mean load is this. */
  public static double early(double meanLoad) {
    double load = (meanLoad - EARLY_FROM) / (EARLY_FULL - EARLY_FROM);
    return EARLY_LEAST + (EARLY - EARLY_LEAST) * (load > 0 ? Math.min(1, load) : 0);
  }

  /** A number that all nodes have for a server, for an order that no one has to agree on. */
  public static int number(String server) {
    int hash = server.hashCode() * 0x9E3779B1;
    return hash ^ (hash >>> 15);
  }
}
