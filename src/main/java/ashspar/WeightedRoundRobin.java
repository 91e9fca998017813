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

/**
 * Weighted round robin. Each server has a next turn in virtual time; a server with weight w takes a
 * turn every 1/w units.
 */
final class WeightedRoundRobin {
  private static final int MAX_COMPARED_SERVERS = 20; // per request

  /** A scheduled turn; among turns at the same time, the one scheduled first comes first. */
  record Turn(double at, long order, Server server) {}

  private final Node node;
  private final TreeSet<Turn> turns =
      new TreeSet<>(Comparator.comparingDouble(Turn::at).thenComparingLong(Turn::order));
  private final Set<Server> parked = new LinkedHashSet<>();
  private long nextOrder;

  private double virtualNow; // the time of the last turn taken

  WeightedRoundRobin(Node node) {
    this.node = node;
  }

  /**
   * Sets the weight of a server. The remaining wait for its next turn is scaled to the new weight.
   */
  void setWeight(Server s, double weight) {
    double wait =
        s.weight > 0 ? Math.max(0, s.nextTurn - virtualNow) * s.weight : node.random.nextDouble();
    s.nextTurn = weight > 0 ? virtualNow + Math.min(wait, 1) / weight : Double.MAX_VALUE;
    s.weight = weight;
  }

  /** Adds the server's next turn to the schedule, replacing the previous entry. */
  void schedule(Server s) {
    unschedule(s);
    node.limits.noCapacityCache.serverChanged(s.limits);
    if (s.weight > 0 && s.state == State.READY && !s.parked) {
      s.scheduledTurn = new Turn(s.nextTurn, nextOrder++, s);
      turns.add(s.scheduledTurn);
    }
  }

  /** Removes the server's turn from the schedule. */
  private void unschedule(Server s) {
    if (s.scheduledTurn != null) {
      turns.remove(s.scheduledTurn);
      s.scheduledTurn = null;
    }
  }

  void rescheduleAll() {
    node.readyServers.forEach(this::schedule);
  }

  /** Sets the server's first turn, by the share of its turn interval that it waits. */
  void setFirstTurn(Server s, double offset) {
    s.nextTurn = virtualNow + offset / s.weight;
  }

  /** Moves the server's turn to the current virtual time. */
  void scheduleNow(Server s) {
    if (s.nextTurn > virtualNow) {
      s.nextTurn = virtualNow;
      schedule(s);
    }
  }

  /** Counts a turn as taken and schedules the following one. */
  void advance(Server s) {
    s.nextTurn = Math.max(virtualNow, s.nextTurn) + 1 / Math.max(s.weight, 1e-3);
    schedule(s);
  }

  /** Removes a server that drains or is no longer listed. */
  void remove(Server s) {
    s.weight = 0;
    unschedule(s);
  }

  /**
   * Returns the next server in turn that may take the request, or null. Servers that cannot take
   * any request are removed from the schedule and parked.
   *
   * @param mayRepeatServer whether servers that were already tried are allowed
   * @param tier the last tier of servers to consider, see {@link SubsetScope}
   */
  Server next(ActiveRequest active, boolean mayRepeatServer, int tier) {
    String group = active.request.affinityGroup();
    boolean isFirstSearch =
        !mayRepeatServer && active.triedServers.isEmpty() && tier == SubsetScope.LAST_TIER;
    if (isFirstSearch
        && node.limits.noCapacityCache.isKnownFull(node.now, node.relativeValue(active))) {
      return null;
    }
    double maxEarly = group == null ? 0 : AffinityGroups.maxTurnsEarly(node.weights.meanLoad());
    Server found = null;
    double best = Double.MAX_VALUE;
    double firstTurn = 0;
    int compared = 0;
    for (Iterator<Turn> iterator = turns.iterator();
        compared < MAX_COMPARED_SERVERS && iterator.hasNext(); ) {
      Turn turn = iterator.next();
      Server s = turn.server();
      if (turn.at() - maxEarly >= best) {
        break;
      }
      if (!node.admission.isOpen(s)) {
        iterator.remove();
        s.scheduledTurn = null;
        s.parked = true;
        parked.add(s);
      } else if (node.admission.isInTier(s, tier)
          && node.admission.canTake(active, s, mayRepeatServer)) {
        firstTurn = compared++ == 0 ? turn.at() : firstTurn;
        double affinity = node.limits.affinity(s.limits, group) * node.weights.zoneFactor(s);
        double at = turn.at() - maxEarly * affinity;
        if (at < best) {
          best = at;
          found = s;
        }
      }
    }
    virtualNow = found == null ? virtualNow : Math.max(virtualNow, firstTurn);
    boolean isOrdinary =
        node.relativeCost(active) <= Admission.MAX_COLD_COST && !node.limits.holdsGroup(group);
    if (found == null && isFirstSearch && isOrdinary) {
      node.limits.noCapacityCache.recordNoCapacity(node.relativeValue(active));
    }
    return found;
  }

  /** Schedules a parked server again if it can take requests or is no longer ready. */
  void unpark(Server s) {
    if (s.parked && (s.state != State.READY || node.admission.isOpen(s))) {
      parked.remove(s);
      s.parked = false;
      schedule(s);
    }
  }

  /**
   * Schedules all parked servers that can take requests again, and clears the cache of full
   * servers, because the passing of time alone may have freed capacity.
   */
  void unpark() {
    node.limits.noCapacityCache.clear();
    List.copyOf(parked).forEach(this::unpark);
  }

  /** Returns up to {@code max} servers that satisfy the test, in the order of their turns. */
  List<Server> upcoming(int max, Predicate<Server> test) {
    List<Server> found = new ArrayList<>();
    for (Iterator<Turn> iterator = turns.iterator(); found.size() < max && iterator.hasNext(); ) {
      Server s = iterator.next().server();
      if (test.test(s)) {
        found.add(s);
      }
    }
    return found;
  }
}
