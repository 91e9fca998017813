package ashspar;

import ashspar.Balancer.State;
import ashspar.limits.ColdShare;
import ashspar.limits.Pause;
import ashspar.limits.ServerLimits;
import ashspar.limits.Strain;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** What this node knows of one server. */
final class Server {
  final String id;
  final ServerLimits limits;
  String zone;
  int cell;
  State state = State.GONE;
  double size = 1;
  long since;

  /** Committed weight; the mean of all is about 1, 0 means quiesced. */
  double weight;

  double index = 1;
  double previousIndex = 1;

  /** Virtual time of this server's next turn, and its place in the wheel; null while out of it. */
  double turn;

  Wheels.Turn place;

  /** Out of the wheel, since it can take nothing at all. */
  boolean parked;

  long reportAt = Long.MIN_VALUE / 2;

  /** As reported, by the order in {@link Weights}; NaN where not told. */
  final double[] metrics = {Double.NaN, Double.NaN, Double.NaN};

  double input;
  boolean quiesced;
  boolean probing;
  boolean own = true; // one that this node asks, and places at first
  ColdShare coldShare; // of what it may be sent while it warms up
  final Pause moving = new Pause(3 * Node.SECOND / 2); // until a report shows the last move
  long restUntil;
  long askFrom; // not probed before
  final Strain strain = new Strain();

  final List<Held> waiting = new ArrayList<>(); // for the answer to a probe
  final Set<Held> open = new LinkedHashSet<>(); // own connections that stand here

  Server(String id, ServerLimits limits) {
    this.id = id;
    this.limits = limits;
  }

  double load() {
    return metrics[Weights.LOAD];
  }
}
