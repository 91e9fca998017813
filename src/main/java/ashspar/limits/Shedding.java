package ashspar.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;

/** Which connections to move off a server that is asked for more than it can do. Pure. */
public final class Shedding {
  /** Load from which connections are moved, and what is left where others have room. */
  private static final double SHED_ABOVE = 0.9;

  private static final double SHED_TO = 0.85;

  /**
   * Load from which a server's messages come too late for all that it holds, and what is left then
   * even if nobody has room: some are served by nobody for a while, so that the rest are.
   */
  private static final double OVERLOAD = 0.95;

  private static final double SHED_OVERLOAD_TO = 0.8;

  /** Most of a server's connections, as a share, that one look moves. */
  private static final double MAX_SHED_SHARE = 0.8;

  private Shedding() {}

  /**
   * The share of a server's load that is to be moved.
   *
   * @param load of the server, as reported
   * @param spare room at the others, in loads of this one
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
   * The connections that carry this share of the load of all, those of the least value first. The
   * last one goes by chance, so that nodes with few connections do their part too.
   *
   * @param chance numbers from 0 to 1
   */
  public static <C> List<C> chooseConnections(
      Collection<C> open,
      double share,
      ToDoubleFunction<C> load,
      ToDoubleFunction<C> value,
      DoubleSupplier chance) {
    double most = 0;
    for (C connection : open) {
      most += share * load.applyAsDouble(connection);
    }
    List<C> order = new ArrayList<>(open);
    order.sort(Comparator.comparingDouble(value));
    List<C> chosen = new ArrayList<>();
    for (C connection : order) {
      double weight = load.applyAsDouble(connection);
      if (most <= 0 || chance.getAsDouble() * weight >= most) {
        break;
      }
      most -= weight;
      chosen.add(connection);
    }
    return chosen;
  }
}
