package ashspar;

import ashspar.Balancer.Rules;
import ashspar.Balancer.State;
import ashspar.limits.ColdShare;
import java.util.ArrayList;
import java.util.List;

/**
 * Which server a request may go to now; those that have just started by their share of a budget.
 */
final class Admission {
  /** Of the fall-over budget: places of two windows may be taken within one. */
  private static final double COLD_SAFETY = 0.45;

  static final double COLD_HEAVIEST = 2; // against the mean

  private static final double SECOND = Node.SECOND;

  private final Node node;
  private final List<Server> cold = new ArrayList<>();

  Admission(Node node) {
    this.node = node;
  }

  /** The server in turn, any one where all weights are zero, or null where there is no place. */
  Server find(Held h) {
    if (!node.limits.open(node.now)) {
      return null;
    }
    callCold();
    Server s = node.wheels.next(h, false);
    if (s != null || node.ready.stream().anyMatch(other -> other.weight > 0)) {
      return s == null && !h.tried.isEmpty() ? node.wheels.next(h, true) : s;
    }
    List<Server> any = node.ready.stream().filter(x -> open(x) && allowed(h, x, true)).toList();
    return any.isEmpty() ? null : any.get(node.random.nextInt(any.size()));
  }

  /** Whether a server can take anything at all. */
  boolean open(Server s) {
    return s.state == State.READY
        && node.now >= s.restUntil
        && s.limits.open(node.now)
        && coldAllows(s);
  }

  /** Whether a server that is open may take this request. */
  boolean allowed(Held h, Server s, boolean again) {
    return (again || !h.tried.contains(s))
        && h.sharesMemory(s, node.now)
        && node.limits.room(node.now, s.limits, node.value(h), h.request.group())
        && (node.cost(h) <= COLD_HEAVIEST || warmth(s) >= 1);
  }

  /** A server has started, perhaps just now. */
  void started(Server s) {
    s.coldShare = new ColdShare(node.settings.rank() + Fleet.mix(s.id), node.settings.nodes());
    if (warmth(s) < 1 && !cold.contains(s)) {
      cold.add(s);
    }
  }

  /** The share of its capacity that a server surely has, by the slowest warm-up stated. */
  double warmth(Server s) {
    double warm = rules().warmUp() / SECOND;
    double least = rules().coldShare();
    return s.since > 0 && age(s) < warm ? least + (1 - least) * age(s) / warm : 1;
  }

  /** A place is this node's for as long as the window over which the server falls. */
  boolean coldAllows(Server s) {
    return warmth(s) >= 1 || s.coldShare.free(warming(s), age(s), rules().fallWindow() / SECOND);
  }

  private ColdShare.Warming warming(Server s) {
    double most = COLD_SAFETY * rules().fallMultiple() * node.limits.turnover(s.limits);
    return new ColdShare.Warming(most, rules().coldShare(), rules().warmUp() / SECOND);
  }

  private double age(Server s) {
    return Math.max(0, node.now - s.since) / SECOND;
  }

  private Rules rules() {
    return node.settings.rules();
  }

  void coldTake(Server s, double cost) {
    if (warmth(s) < 1) {
      s.coldShare.take(warming(s), age(s), cost);
    }
  }

  /** A cold server is due once its token is whole: in large fleets its turn takes minutes. */
  private void callCold() {
    cold.forEach(s -> s.limits.warm(warmth(s)));
    cold.removeIf(s -> s.state != State.READY || warmth(s) >= 1);
    for (Server s : cold) {
      boolean light = !(s.limits.load(node.now) > node.weights.meanLoad());
      if (s.weight > 0 && light && node.weights.nearness(s) == 1 && coldAllows(s)) {
        node.wheels.call(s);
      }
    }
  }
}
