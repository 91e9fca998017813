package ashspar;

import ashspar.Balancer.State;
import ashspar.limits.AffinityGroups;
import ashspar.limits.SubsetScope;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Weighted round robin over committed weights: each server's next turn, in virtual time. */
final class WeightedRoundRobin {
  private static final int MAX_COMPARED_SERVERS = 20; // servers that one request compares, at most

  /** A place in the wheel; of two at the same time the one that was taken first comes first. */
  record Turn(double at, long order, Server server) {}

  private final Node node;
  private final TreeSet<Turn> turns =
      new TreeSet<>(Comparator.comparingDouble(Turn::at).thenComparingLong(Turn::order));
  private final Set<Server> parked = new LinkedHashSet<>();
  private long nextOrder;

  private double virtualNow; // the turn that was taken last

  WeightedRoundRobin(Node node) {
    this.node = node;
  }

  /** Sets a weight; what was left of the server's wait for its turn is stretched to match. */
  void setWeight(Server s, double weight) {
    double left =
        s.weight > 0 ? Math.max(0, s.nextTurn - virtualNow) * s.weight : node.random.nextDouble();
    s.nextTurn = weight > 0 ? virtualNow + Math.min(left, 1) / weight : Double.MAX_VALUE;
    s.weight = weight;
  }

  void schedule(Server s) {
    unschedule(s);
    node.limits.noCapacityCache.serverChanged(s.limits);
    if (s.weight > 0 && s.state == State.READY && !s.parked) {
      s.scheduledTurn = new Turn(s.nextTurn, nextOrder++, s);
      turns.add(s.scheduledTurn);
    }
  }

  private void unschedule(Server s) {
    if (s.scheduledTurn != null) {
      turns.remove(s.scheduledTurn);
      s.scheduledTurn = null;
    }
  }

  void rescheduleAll() {
    node.readyServers.forEach(this::schedule);
  }

  void setFirstTurn(Server s, double place) {
    s.nextTurn = virtualNow + place / s.weight;
  }

  void scheduleNow(Server s) {
    if (s.nextTurn > virtualNow) {
      s.nextTurn = virtualNow;
      schedule(s);
    }
  }

  void advance(Server s) {
    s.nextTurn = Math.max(virtualNow, s.nextTurn) + 1 / Math.max(s.weight, 1e-3);
    schedule(s);
  }

  void remove(Server s) {
    s.weight = 0;
    unschedule(s);
  }

  /** The next server in turn that this request may go to, or null; what is full is parked. */
  Server next(ActiveRequest h, boolean again, int tier) {
    String group = h.request.affinityGroup();
    boolean fresh = !again && h.triedServers.isEmpty() && tier == SubsetScope.LAST_TIER;
    if (fresh && node.limits.noCapacityCache.isKnownFull(node.now, node.relativeValue(h))) {
      return null;
    }
    double early = group == null ? 0 : AffinityGroups.maxTurnsEarly(node.weights.meanLoad());
    Server found = null;
    double best = Double.MAX_VALUE;
    double first = 0;
    int looks = 0;
    for (Iterator<Turn> iterator = turns.iterator();
        looks < MAX_COMPARED_SERVERS && iterator.hasNext(); ) {
      Turn turn = iterator.next();
      Server s = turn.server();
      if (turn.at() - early >= best) {
        break;
      }
      if (!node.admission.isOpen(s)) {
        iterator.remove();
        s.scheduledTurn = null;
        s.parked = true;
        parked.add(s);
      } else if (node.admission.isInTier(s, tier) && node.admission.canTake(h, s, again)) {
        first = looks++ == 0 ? turn.at() : first;
        double liking = node.limits.affinity(s.limits, group) * node.weights.zoneFactor(s);
        double at = turn.at() - early * liking;
        if (at < best) {
          best = at;
          found = s;
        }
      }
    }
    virtualNow = found == null ? virtualNow : Math.max(virtualNow, first);
    boolean usual =
        node.relativeCost(h) <= Admission.MAX_COLD_COST && !node.limits.holdsGroup(group);
    if (found == null && fresh && usual) {
      node.limits.noCapacityCache.recordNoCapacity(node.relativeValue(h));
    }
    return found;
  }

  void unpark(Server s) {
    if (s.parked && (s.state != State.READY || node.admission.isOpen(s))) {
      parked.remove(s);
      s.parked = false;
      schedule(s);
    }
  }

  /** Time alone may have changed something at any parked server. */
  void unpark() {
    node.limits.noCapacityCache.clear();
    List.copyOf(parked).forEach(this::unpark);
  }

  /** The servers whose turns come next, the first first; at most so many that the test takes. */
  List<Server> upcoming(int most, Predicate<Server> test) {
    List<Server> found = new ArrayList<>();
    for (Iterator<Turn> iterator = turns.iterator(); found.size() < most && iterator.hasNext(); ) {
      Server s = iterator.next().server();
      if (test.test(s)) {
        found.add(s);
      }
    }
    return found;
  }
}
