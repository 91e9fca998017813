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

/** The state that this node keeps for one server. Times are microseconds on the module's clock. */
final class Server {
  final String id;
  final ServerLimits limits;
  String zone;
  int cell;
  State state = State.GONE;
  double size = 1;
  long startedAt;

  /** The weight in effect. The mean over all servers is about 1; 0 means quiesced. */
  double weight;

  /** The load metric index of the last two computations. */
  double index = 1;

  double previousIndex = 1;

  /** The server's next turn in virtual time, and its entry in the schedule, null if it has none. */
  double nextTurn;

  WeightedRoundRobin.Turn scheduledTurn;

  /** Whether the server is left out of the schedule because it cannot take any request. */
  boolean parked;

  long reportedAt = Long.MIN_VALUE / 2;

  /** The reported metrics in the order of the constants of {@link Weights}; NaN where unknown. */
  final double[] metrics = {Double.NaN, Double.NaN, Double.NaN};

  /** This node's placements on the server, decayed by 20 percent per tick. */
  double recentPlacements;

  boolean quiesced;
  boolean probePending;
  boolean inSubset = true; // probed regularly and preferred for placements
  ColdShare coldShare; // this node's share of what the server may be sent while it warms up
  // Long enough for a report to show the previous move.
  final IntervalLimiter shedInterval = new IntervalLimiter(3 * Node.SECOND / 2);

  /** No request is sent before this time, and no probe before {@link #noProbesUntil}. */
  long noPlacementsUntil;

  long noProbesUntil;
  final OverloadDetector overloadDetector = new OverloadDetector();

  // Requests that wait for the answer to a probe.
  final List<ActiveRequest> requestsAwaitingProbe = new ArrayList<>();
  final Set<ActiveRequest> connections = new LinkedHashSet<>(); // open connections of this node

  Server(String id, ServerLimits limits) {
    this.id = id;
    this.limits = limits;
  }

  double reportedLoad() {
    return metrics[Weights.LOAD];
  }
}
