package ashspar;

import ashspar.Balancer.State;
import ashspar.limits.AffinityGroups;
import ashspar.limits.BudgetDivision;
import ashspar.limits.ColdShare;
import ashspar.limits.SubsetScope;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which servers may take a request now. A server that is warming up only takes requests
 * within this node's share of its budget.
 */
final class Admission {
  // Relative to the mean request; heavier requests are not sent to cold servers.
  static final double MAX_COLD_COST = 2;
  // Servers outside the subset are probed every 3 s.
  private static final long RECENT_REPORT_MICROS = 4 * Node.SECOND;

  private final Node node;
  private final List<Server> coldServers = new ArrayList<>();

  Admission(Node node) {
    this.node = node;
  }

  /**
   * Returns the next server in turn that may take the request, a random one if all weights are
   * zero, or null if no server has capacity.
   */
  Server selectServer(ActiveRequest active) {
    if (!node.limits.canSetUp(node.now)) {
      return null;
    }
    scheduleColdServers();
    Server s = null;
    int lastTier = node.subset == null ? SubsetScope.LAST_TIER : node.limits.subsetScope.lastTier();
    for (int tier = node.subset == null ? lastTier : 0; s == null && tier <= lastTier; tier++) {
      s = node.roundRobin.next(active, false, tier);
      if (s == null && node.limits.subsetScope.recordNoCapacity(node.now, tier)) {
        node.probing.tick();
      }
    }
    if (s != null || node.readyServers.stream().anyMatch(other -> other.weight > 0)) {
      return s == null && !active.triedServers.isEmpty()
          ? node.roundRobin.next(active, true, lastTier)
          : s;
    }
    List<Server> any =
        node.readyServers.stream().filter(x -> isOpen(x) && canTake(active, x, true)).toList();
    return any.isEmpty() ? null : any.get(node.random.nextInt(any.size()));
  }

  /**
   * Returns whether a server belongs to the tiers tried so far. Restricting a node to its subset
   * must not cost a request its placement, so other servers follow in later tiers, and those
   * without a recent report come last.
   */
  boolean isInTier(Server s, int tier) {
    return tier == SubsetScope.LAST_TIER
        || SubsetScope.tierOf(
                s.inSubset || warmth(s) < 1, node.weights.zoneFactor(s) == 1, hasRecentReport(s))
            <= tier;
  }

  /** Returns whether the server is known to be alive. */
  private boolean hasRecentReport(Server s) {
    return node.now - s.reportedAt <= RECENT_REPORT_MICROS || !node.settings.permissions().probes();
  }

  /**
   * Adjusts how far this node looks beyond its subset, depending on how many servers of the subset
   * take requests.
   */
  void adjustScope() {
    node.limits.subsetScope.adjust(
        node.now,
        node.subset == null ? List.of() : node.readyServers,
        s -> s.inSubset,
        s -> node.weights.zoneFactor(s) == 1,
        s -> !s.quiesced && s.limits.isOpen(node.now) && hasRecentReport(s));
  }

  /** Returns whether a server can take any request at all. */
  boolean isOpen(Server s) {
    return s.state == State.READY
        && node.now >= s.noPlacementsUntil
        && s.limits.isOpen(node.now)
        && hasColdSlot(s);
  }

  /** Returns whether an open server may take this request. */
  boolean canTake(ActiveRequest active, Server s, boolean mayRepeatServer) {
    return (mayRepeatServer || !active.triedServers.contains(s))
        && active.isRepeatSafeAt(s, node.now)
        && node.limits.hasCapacity(
            node.now, s.limits, node.relativeValue(active), active.request.affinityGroup())
        && (node.relativeCost(active) <= MAX_COLD_COST || warmth(s) >= 1);
  }

  /** Registers a server that has started, possibly long ago. */
  void serverStarted(Server s) {
    s.coldShare = node.limits.budgetDivision.coldShare(node.now, AffinityGroups.orderingHash(s.id));
    if (warmth(s) < 1 && !coldServers.contains(s)) {
      coldServers.add(s);
    }
  }

  /** Applies a new share of the budgets; returns whether it differs from the previous one. */
  boolean updateShare(Balancer.BudgetShare s) {
    applyExpiry();
    BudgetDivision division = node.limits.budgetDivision;
    boolean changed =
        division.update(
            node.now, s.fraction(), s.baseFraction(), s.index(), s.participants(), s.untilMicros());
    if (changed) {
      redivide(node.now);
    }
    return changed;
  }

  /** Applies the end of a share that has expired in the meantime. */
  private void applyExpiry() {
    long ended = node.limits.budgetDivision.takeExpiry(node.now);
    if (ended <= node.now) {
      redivide(ended);
    }
  }

  /** Recomputes all values that depend on this node's share of the budgets. */
  private void redivide(long at) {
    for (Server s : coldServers) {
      double age = Math.max(0, at - s.startedAt) / (double) Node.SECOND;
      s.coldShare.changeSpacing(rampUp(s), age, node.limits.budgetDivision.inverseShare(node.now));
    }
    node.limits.tenantShares.setInverseShare(node.limits.budgetDivision.inverseShare(node.now));
  }

  /**
   * Returns the share of its capacity that a server is certain to have, by the slowest configured
   * warm-up.
   */
  double warmth(Server s) {
    return s.startedAt > 0 ? node.limits.warmUp().warmth(ageSeconds(s)) : 1;
  }

  /**
   * Returns whether this node has a free slot on the server. On a cold server a slot stays valid
   * for the window over which an overload makes the server fail.
   */
  boolean hasColdSlot(Server s) {
    applyExpiry();
    return warmth(s) >= 1
        || s.coldShare.hasSlot(
            rampUp(s), ageSeconds(s), node.limits.warmUp().overloadWindowSeconds());
  }

  private ColdShare.RampUp rampUp(Server s) {
    return node.limits.warmUp().rampUp(node.limits.turnoverPerSecond(s.limits));
  }

  private double ageSeconds(Server s) {
    return Math.max(0, node.now - s.startedAt) / (double) Node.SECOND;
  }

  /** Uses up a slot if the server is cold. */
  void takeColdSlot(Server s, double cost) {
    if (warmth(s) < 1) {
      s.coldShare.takeSlot(rampUp(s), ageSeconds(s), cost);
    }
  }

  /**
   * Schedules cold servers as soon as this node has a slot there: in a large fleet the regular turn
   * would take minutes to come.
   */
  private void scheduleColdServers() {
    coldServers.forEach(s -> s.limits.setWarmth(warmth(s)));
    coldServers.removeIf(s -> s.state != State.READY || warmth(s) >= 1);
    for (Server s : coldServers) {
      boolean isLight = !(s.limits.load(node.now) > node.weights.meanLoad());
      if (s.weight > 0 && isLight && node.weights.zoneFactor(s) == 1 && hasColdSlot(s)) {
        node.roundRobin.scheduleNow(s);
      }
    }
  }
}
