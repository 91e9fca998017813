package ashspar;

import ashspar.Balancer.State;
import ashspar.limits.ColdShare;
import ashspar.limits.IntervalLimiter;
import ashspar.limits.OverloadDetector;
import ashspar.limits.ServerLimits;
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
  long startedAt;

  /** Committed weight; the mean of all is about 1, 0 means quiesced. */
  double weight;

  double index = 1;
  double previousIndex = 1;

  /** Virtual time of this server's next turn, and its place in the wheel; null while out of it. */
  double nextTurn;

  WeightedRoundRobin.Turn scheduledTurn;

  /** Out of the wheel, since it can take nothing at all. */
  boolean parked;

  long reportedAt = Long.MIN_VALUE / 2;

  /** As reported, by the order in {@link Weights}; NaN where not told. */
  final double[] metrics = {Double.NaN, Double.NaN, Double.NaN};

  double recentPlacements;
  boolean quiesced;
  boolean probePending;
  boolean inSubset = true; // one that this node asks, and places at first
  ColdShare coldShare; // of what it may be sent while it warms up
  final IntervalLimiter shedInterval =
      new IntervalLimiter(3 * Node.SECOND / 2); // until a report shows the last move
  long noPlacementsUntil;
  long noProbesUntil; // not probed before
  final OverloadDetector overloadDetector = new OverloadDetector();

  final List<ActiveRequest> requestsAwaitingProbe = new ArrayList<>(); // for the answer to a probe
  final Set<ActiveRequest> connections = new LinkedHashSet<>(); // own connections that stand here

  Server(String id, ServerLimits limits) {
    this.id = id;
    this.limits = limits;
  }

  double reportedLoad() {
    return metrics[Weights.LOAD];
  }
}
