package ashspar.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the load that a connection adds to a server before any load report shows it. The
 * smaller of two estimates is used: the mean load of the fleet divided by the assumed number of
 * connections, which is too high on a node that has just started and knows few of them, and the
 * load that connections report for themselves, divided by the size of the server.
 *
 * <p>A connection that brings a new group to a server costs {@link #GROUP_COST} connections more.
 *
 * <p>Loads are as in load reports, demanded load relative to capacity. Sizes are in cores if the
 * site states nominal sizes. Not thread-safe.
 */
public final class LoadEstimate {
  /** The cost of a group on a server that holds any connection of it, in mean connections. */
  public static final double GROUP_COST = 3;

  /** Corrects the number of groups for those that only other nodes hold at a server. */
  private static final double UNSEEN_GROUPS_FACTOR = 1.3;

  /**
   * The number of connections per server by which its load is divided at least, since few
   * connections give no reliable mean.
   */
  private static final double MIN_CONNECTIONS_PER_SERVER = 5;

  /**
   * The assumed load of a connection in cores, before any has reported its own: 15 to 24
   * connections fill a core.
   */
  private static final double DEFAULT_CORES = 0.055;

  private static final double MAX_CORES = 0.2;

  private static final double MIN_CORES = DEFAULT_CORES / 4;

  /** The factor for the work of the set-up that precedes the connection. */
  private static final double SETUP_FACTOR = 1.5;

  /** The weight of one reported load in the mean of its class. */
  private static final double LOAD_SMOOTHING = 0.05;

  private final Map<String, Double> coresByClass = new HashMap<>();
  private double meanReported;
  private double meanLoadPerConnection = Double.NaN;

  /** Records the load of a connection, in cores. */
  public void recordLoad(String requestClass, double cores) {
    double mean = coresByClass.getOrDefault(requestClass, cores);
    coresByClass.put(requestClass, mean + LOAD_SMOOTHING * (cores - mean));
    meanReported =
        meanReported == 0 ? cores : meanReported + LOAD_SMOOTHING * (cores - meanReported);
  }

  /** Returns the load of the class's connections relative to that of all, 1 if unknown. */
  public double relativeLoad(String requestClass) {
    Double own = coresByClass.get(requestClass);
    return own == null || meanReported == 0 ? 1 : Math.min(10, Math.max(0.1, own / meanReported));
  }

  /** Returns the load of a mean connection, in cores. */
  public double meanCores() {
    return meanReported > 0 ? Math.min(MAX_CORES, meanReported) : DEFAULT_CORES;
  }

  /**
   * Returns how many connections fill a server, by the load that connections report. If that load
   * is implausibly small, loads or sizes are in other units, and the load reports of servers are
   * used instead; their estimate is too high on a node that has just started and holds few
   * connections.
   */
  public double connectionsToFill(double size, double meanSize) {
    double reported =
        Double.isNaN(meanLoadPerConnection) ? DEFAULT_CORES : meanLoadPerConnection * meanSize;
    return size / (meanCores() < MIN_CORES ? Math.max(MIN_CORES, reported) : meanCores());
  }

  /**
   * Updates the estimate for the fleet.
   *
   * @param meanLoad the mean load of the servers as reported; NaN if unknown
   * @param connections the connections of all nodes
   * @param groups the number of groups held, summed over the servers
   * @param servers the number of ready servers
   */
  public void measure(double meanLoad, double connections, double groups, int servers) {
    double each = (connections + GROUP_COST * UNSEEN_GROUPS_FACTOR * groups) / Math.max(1, servers);
    meanLoadPerConnection = meanLoad / Math.max(MIN_CONNECTIONS_PER_SERVER, each);
  }

  /**
   * Returns the load that a connection adds to a server, including that of similar placements by
   * other nodes.
   *
   * @param cost the connection's load relative to the mean
   * @param newGroup whether the connection brings a new group to the server
   * @param coincidingNodes the number of nodes assumed to place a connection there at the same
   *     time, including this one
   * @param size the size of the server in cores; 0 if unknown
   * @param meanSize the mean size of the servers
   */
  public double addedLoad(
      double cost, boolean newGroup, int coincidingNodes, double size, double meanSize) {
    double perConnection = Double.isNaN(meanLoadPerConnection) ? 0 : meanLoadPerConnection;
    if (size > 0) {
      perConnection = Math.min(perConnection * meanSize / size, SETUP_FACTOR * meanCores() / size);
    }
    return perConnection * (cost * coincidingNodes + (newGroup ? GROUP_COST : 0));
  }
}
