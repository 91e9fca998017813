package ashspar.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;

/** Chooses the connections to move off an overloaded server. Has no state. */
public final class Shedding {
  /**
   * The load above which connections are moved, and the load that remains if others have capacity.
   */
  private static final double SHED_ABOVE = 0.9;

  private static final double SHED_TO = 0.85;

  /**
   * The load above which a server answers all its connections late, and the load that remains then
   * even if no other server has capacity: leaving some clients unserved for a while is better than
   * serving all of them late.
   */
  private static final double OVERLOAD = 0.95;

  private static final double SHED_OVERLOAD_TO = 0.8;

  /** The largest share of a server's load that is moved at once. */
  private static final double MAX_SHED_SHARE = 0.8;

  private Shedding() {}

  /**
   * Returns the share of a server's load that is to be moved.
   *
   * @param load the reported load of the server
   * @param spare the capacity of the other servers, relative to this one
   */
  public static double excessShare(double load, double spare) {
    if (!(load > SHED_ABOVE)) {
      return 0;
    }
    double excess = Math.min(load - SHED_TO, spare);
    excess = Math.max(excess, load > OVERLOAD ? load - SHED_OVERLOAD_TO : 0);
    return Math.max(0, Math.min(MAX_SHED_SHARE, excess / load));
  }

  /**
   * Chooses the connections that carry this share of the total load, those of the lowest value
   * first. The last one is included with a probability proportional to the remaining share, so that
   * nodes with few connections contribute as well.
   *
   * @param chance a source of random numbers from 0 to 1
   */
  public static <C> List<C> chooseConnections(
      Collection<C> open,
      double share,
      ToDoubleFunction<C> load,
      ToDoubleFunction<C> value,
      DoubleSupplier chance) {
    double remaining = 0;
    for (C connection : open) {
      remaining += share * load.applyAsDouble(connection);
    }
    List<C> order = new ArrayList<>(open);
    order.sort(Comparator.comparingDouble(value));
    List<C> chosen = new ArrayList<>();
    for (C connection : order) {
      double weight = load.applyAsDouble(connection);
      if (remaining <= 0 || chance.getAsDouble() * weight >= remaining) {
        break;
      }
      remaining -= weight;
      chosen.add(connection);
    }
    return chosen;
  }
}
