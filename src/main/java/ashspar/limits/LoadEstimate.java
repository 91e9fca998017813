package ashspar.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * What one connection adds to a server's load, before any report shows it. There are two estimates,
 * and the smaller counts: the fleet's mean load over the connections that this node takes there to
 * be, which is too much where the node has just started and knows few of them; and what connections
 * say of their own load, over the size of the server.
 *
 * <p>A connection that brings a server a new group costs it {@link #GROUP} connections more.
 *
 * <p>Loads are as in reports, load asked over what the server can do; sizes are in cores where the
 * site tells nominal ones. For one thread at a time.
 */
public final class LoadEstimate {
  /** What a group costs a server that holds any of it, in mean connections. */
  public static final double GROUP = 3;

  /** A group that this node holds at a server is held there by others too, or others are. */
  private static final double GROUPS_SEEN = 1.3;

  /** Connections a server at least, by which its load is shared out: few tell little. */
  private static final double LEAST_EACH = 5;

  /** Load of a usual connection, in cores, until one tells its own: 15 to 24 fill a core. */
  private static final double USUAL = 0.055;

  private static final double USUAL_MOST = 0.2;

  private static final double USUAL_LEAST = USUAL / 4;

  /** A connection is set up first, which is work too: so many times its own load. */
  private static final double WITH_SETUP = 1.5;

  /** Weight of one note of a connection's load in its class's mean. */
  private static final double STEP = 0.05;

  private final Map<String, Double> classes = new HashMap<>();
  private double told;
  private double meanOne = Double.NaN;

  /** A connection has told its load, in cores. */
  public void told(String requestClass, double cores) {
    double old = classes.getOrDefault(requestClass, cores);
    classes.put(requestClass, old + STEP * (cores - old));
    told = told == 0 ? cores : told + STEP * (cores - told);
  }

  /** Load of a class's connections against that of all, 1 where none has told. */
  public double against(String requestClass) {
    Double own = classes.get(requestClass);
    return own == null || told == 0 ? 1 : Math.min(10, Math.max(0.1, own / told));
  }

  /** Load of a mean connection, in cores. */
  public double cores() {
    return told > 0 ? Math.min(USUAL_MOST, told) : USUAL;
  }

  /**
   * Connections that fill a server, by what they say of themselves. Where that is next to nothing,
   * loads or sizes are in units of another kind, and what reports show counts: that is too much
   * load for each where a node has just started and holds few.
   */
  public double fill(double size, double meanSize) {
    double shown = Double.isNaN(meanOne) ? USUAL : meanOne * meanSize;
    return size / (cores() < USUAL_LEAST ? Math.max(USUAL_LEAST, shown) : cores());
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
    double each = (connections + GROUP * GROUPS_SEEN * groups) / Math.max(1, servers);
    meanOne = meanLoad / Math.max(LEAST_EACH, each);
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
  public double adds(double cost, boolean newGroup, int alike, double size, double meanSize) {
    double one = Double.isNaN(meanOne) ? 0 : meanOne;
    if (size > 0) {
      one = Math.min(one * meanSize / size, WITH_SETUP * cores() / size);
    }
    return one * (cost * alike + (newGroup ? GROUP : 0));
  }
}
