package ashspar;

import ashspar.Balancer.State;
import ashspar.limits.ColdShare;
import ashspar.limits.Groups;
import java.util.ArrayList;
import java.util.List;

/**
 * Which server a request may go to now; those that have just started by their share of a budget.
 */
final class Admission {
  static final double COLD_HEAVIEST = 2; // against the mean

  private final Node node;
  private final List<Server> cold = new ArrayList<>();
  private boolean lapsed = true; // the part that goes beyond the base

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
    s.coldShare = coldShare(Groups.number(s.id));
    if (warmth(s) < 1 && !cold.contains(s)) {
      cold.add(s);
    }
  }

  private ColdShare coldShare(int number) {
    Balancer.Share share = node.share;
    if (share == null) {
      return new ColdShare(node.settings.rank() + number, node.settings.nodes());
    }
    int of = share.of();
    return new ColdShare(
        Math.floorMod(share.turn() + number, of) * node.spacing() / of, node.spacing());
  }

  /**
   * This node's part is told anew, and the one before has perhaps ended meanwhile.
   *
   * @return whether it is another than before
   */
  boolean share(Balancer.Share next) {
    lapse();
    double was = node.spacing();
    node.share = next;
    lapsed = node.now >= next.until();
    if (node.spacing() == was) {
      return false;
    }
    deal(node.now);
    node.limits.shares.divide(node.spacing());
    return true;
  }

  /** A part ends when it was to end, not when that is noticed: a process may have been stopped. */
  private void lapse() {
    if (!lapsed && node.share != null && node.now >= node.share.until()) {
      lapsed = true;
      deal(node.share.until());
      node.limits.shares.divide(node.spacing());
    }
  }

  private void deal(long at) {
    for (Server s : cold) {
      double age = Math.max(0, at - s.since) / (double) Node.SECOND;
      s.coldShare.deal(warming(s), age, node.spacing());
    }
  }

  /** The share of its capacity that a server surely has, by the slowest warm-up stated. */
  double warmth(Server s) {
    return s.since > 0 ? node.limits.warmUp().warmth(age(s)) : 1;
  }

  /** A place is this node's for as long as the window over which the server falls. */
  boolean coldAllows(Server s) {
    lapse();
    return warmth(s) >= 1 || s.coldShare.free(warming(s), age(s), node.limits.warmUp().window());
  }

  private ColdShare.Warming warming(Server s) {
    return node.limits.warmUp().warming(node.limits.turnover(s.limits));
  }

  private double age(Server s) {
    return Math.max(0, node.now - s.since) / (double) Node.SECOND;
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
