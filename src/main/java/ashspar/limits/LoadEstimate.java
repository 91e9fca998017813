package ashspar.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * What one connection adds to a server's load, before any report shows it. There are two estimates,
 * and the smaller counts: the fleet's mean load over the connections that this node takes there to
 * be, which is too much where the node has just started and knows few of them; and what connections
 * say of their own load, over the size of the server.
 *
 * <p>A connection that brings a server a new group costs it {@link #GROUP_COST} connections more.
 *
 * <p>Loads are as in reports, load asked over what the server can do; sizes are in cores where the
 * site tells nominal ones. For one thread at a time.
 */
public final class LoadEstimate {
  /** What a group costs a server that holds any of it, in mean connections. */
  public static final double GROUP_COST = 3;

  /** A group that this node holds at a server is held there by others too, or others are. */
  private static final double UNSEEN_GROUPS_FACTOR = 1.3;

  /** Connections a server at least, by which its load is shared out: few tell little. */
  private static final double MIN_CONNECTIONS_PER_SERVER = 5;

  /** Load of a usual connection, in cores, until one tells its own: 15 to 24 fill a core. */
  private static final double DEFAULT_CORES = 0.055;

  private static final double MAX_CORES = 0.2;

  private static final double MIN_CORES = DEFAULT_CORES / 4;

  /** A connection is set up first, which is work too: so many times its own load. */
  private static final double SETUP_FACTOR = 1.5;

  /** Weight of one note of a connection's load in its class's mean. */
  private static final double LOAD_SMOOTHING = 0.05;

  private final Map<String, Double> coresByClass = new HashMap<>();
  private double recordLoad;
  private double meanLoadPerConnection = Double.NaN;

  /** A connection has told its load, in cores. */
  public void recordLoad(String requestClass, double cores) {
    double old = coresByClass.getOrDefault(requestClass, cores);
    coresByClass.put(requestClass, old + LOAD_SMOOTHING * (cores - old));
    recordLoad = recordLoad == 0 ? cores : recordLoad + LOAD_SMOOTHING * (cores - recordLoad);
  }

  /** Load of a class's connections against that of all, 1 where none has told. */
  public double relativeLoad(String requestClass) {
    Double own = coresByClass.get(requestClass);
    return own == null || recordLoad == 0 ? 1 : Math.min(10, Math.max(0.1, own / recordLoad));
  }

  /** Load of a mean connection, in cores. */
  public double meanCores() {
    return recordLoad > 0 ? Math.min(MAX_CORES, recordLoad) : DEFAULT_CORES;
  }

  /**
   * Connections that fill a server, by what they say of themselves. Where that is next to nothing,
   * loads or sizes are in units of another kind, and what reports show counts: that is too much
   * load for each where a node has just started and holds few.
   */
  public double connectionsToFill(double size, double meanSize) {
    double shown =
        Double.isNaN(meanLoadPerConnection) ? DEFAULT_CORES : meanLoadPerConnection * meanSize;
    return size / (meanCores() < MIN_CORES ? Math.max(MIN_CORES, shown) : meanCores());
  }

  /**
   * Measures the fleet.
   *
   * @param meanLoad of its servers, as reported; NaN where unknown
   * @param connections of all nodes
   * @param groups held at servers, summed over these
   * @param servers that are ready
   */
  public void measure(double meanLoad, double connections, double groups, int servers) {
    double each = (connections + GROUP_COST * UNSEEN_GROUPS_FACTOR * groups) / Math.max(1, servers);
    meanLoadPerConnection = meanLoad / Math.max(MIN_CONNECTIONS_PER_SERVER, each);
  }

  /**
   * What a connection adds to a server, where some others do as this node does.
   *
   * @param cost its load against a mean one's
   * @param newGroup whether it brings the server a group
   * @param alike nodes that are taken to place one there as well, this one included
   * @param size the server's, in cores; 0 where sizes tell nothing
   * @param meanSize the mean of the servers' sizes
   */
  public double addedLoad(double cost, boolean newGroup, int alike, double size, double meanSize) {
    double one = Double.isNaN(meanLoadPerConnection) ? 0 : meanLoadPerConnection;
    if (size > 0) {
      one = Math.min(one * meanSize / size, SETUP_FACTOR * meanCores() / size);
    }
    return one * (cost * alike + (newGroup ? GROUP_COST : 0));
  }
}
