package ashspar;

import ashspar.Balancer.State;
import ashspar.limits.ColdShare;
import ashspar.limits.Division;
import ashspar.limits.Groups;
import ashspar.limits.Reach;
import java.util.ArrayList;
import java.util.List;

/**
 * Which server a request may go to now; those that have just started by their share of a budget.
 */
final class Admission {
  static final double COLD_HEAVIEST = 2; // against the mean
  private static final long KNOWN = 4 * Node.SECOND; // what is held elsewhere is asked each 3 s

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
    Server s = null;
    int most = node.own == null ? Reach.LAST : node.limits.reach.tiers();
    for (int tier = node.own == null ? most : 0; s == null && tier <= most; tier++) {
      s = node.wheels.next(h, false, tier);
      if (s == null && node.limits.reach.missed(node.now, tier)) {
        node.probing.tick();
      }
    }
    if (s != null || node.ready.stream().anyMatch(other -> other.weight > 0)) {
      return s == null && !h.tried.isEmpty() ? node.wheels.next(h, true, most) : s;
    }
    List<Server> any = node.ready.stream().filter(x -> open(x) && allowed(h, x, true)).toList();
    return any.isEmpty() ? null : any.get(node.random.nextInt(any.size()));
  }

  /** Whether a server may be tried by now: a subset costs no place, what is unknown comes last. */
  boolean within(Server s, int tier) {
    return tier == Reach.LAST
        || Reach.tier(s.own || warmth(s) < 1, node.weights.nearness(s) == 1, known(s)) <= tier;
  }

  private boolean known(Server s) {
    return node.now - s.reportAt <= KNOWN || !node.settings.permissions().probes();
  }

  /** How far this node is to look beyond its own servers, by how many of them take more. */
  void look() {
    node.limits.reach.look(
        node.now,
        node.own == null ? List.of() : node.ready,
        s -> s.own,
        s -> node.weights.nearness(s) == 1,
        s -> !s.quiesced && s.limits.open(node.now) && known(s));
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
        && node.limits.room(node.now, s.limits, node.value(h), h.request.affinityGroup())
        && (node.cost(h) <= COLD_HEAVIEST || warmth(s) >= 1);
  }

  /** A server has started, perhaps just now. */
  void started(Server s) {
    s.coldShare = node.limits.division.coldShare(node.now, Groups.number(s.id));
    if (warmth(s) < 1 && !cold.contains(s)) {
      cold.add(s);
    }
  }

  /** This node's part is told anew; whether it is another than before. */
  boolean share(Balancer.BudgetShare s) {
    lapse();
    Division division = node.limits.division;
    boolean other =
        division.told(
            node.now, s.fraction(), s.baseFraction(), s.index(), s.participants(), s.untilMicros());
    if (other) {
      deal(node.now);
    }
    return other;
  }

  private void lapse() {
    long ended = node.limits.division.ended(node.now);
    if (ended <= node.now) {
      deal(ended);
    }
  }

  private void deal(long at) {
    for (Server s : cold) {
      double age = Math.max(0, at - s.since) / (double) Node.SECOND;
      s.coldShare.deal(warming(s), age, node.limits.division.spacing(node.now));
    }
    node.limits.shares.divide(node.limits.division.spacing(node.now));
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
