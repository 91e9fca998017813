package ashspar;

import ashspar.Balancer.State;
import ashspar.limits.AffinityGroups;
import ashspar.limits.BudgetDivision;
import ashspar.limits.ColdShare;
import ashspar.limits.SubsetScope;
import java.util.ArrayList;
import java.util.List;

/**
 * Which server a request may go to now; those that have just started by their share of a budget.
 */
final class Admission {
  static final double MAX_COLD_COST = 2; // against the mean
  private static final long RECENT_REPORT_MICROS =
      4 * Node.SECOND; // what is held elsewhere is asked each 3 s

  private final Node node;
  private final List<Server> coldServers = new ArrayList<>();

  Admission(Node node) {
    this.node = node;
  }

  /** The server in turn, any one where all weights are zero, or null where there is no place. */
  Server selectServer(ActiveRequest h) {
    if (!node.limits.canSetUp(node.now)) {
      return null;
    }
    scheduleColdServers();
    Server s = null;
    int most = node.subset == null ? SubsetScope.LAST_TIER : node.limits.subsetScope.lastTier();
    for (int tier = node.subset == null ? most : 0; s == null && tier <= most; tier++) {
      s = node.roundRobin.next(h, false, tier);
      if (s == null && node.limits.subsetScope.recordNoCapacity(node.now, tier)) {
        node.probing.tick();
      }
    }
    if (s != null || node.readyServers.stream().anyMatch(other -> other.weight > 0)) {
      return s == null && !h.triedServers.isEmpty() ? node.roundRobin.next(h, true, most) : s;
    }
    List<Server> any =
        node.readyServers.stream().filter(x -> isOpen(x) && canTake(h, x, true)).toList();
    return any.isEmpty() ? null : any.get(node.random.nextInt(any.size()));
  }

  /** Whether a server may be tried by now: a subset costs no place, what is unknown comes last. */
  boolean isInTier(Server s, int tier) {
    return tier == SubsetScope.LAST_TIER
        || SubsetScope.tierOf(
                s.inSubset || warmth(s) < 1, node.weights.zoneFactor(s) == 1, hasRecentReport(s))
            <= tier;
  }

  private boolean hasRecentReport(Server s) {
    return node.now - s.reportedAt <= RECENT_REPORT_MICROS || !node.settings.permissions().probes();
  }

  /** How far this node is to look beyond its own servers, by how many of them take more. */
  void adjustScope() {
    node.limits.subsetScope.adjust(
        node.now,
        node.subset == null ? List.of() : node.readyServers,
        s -> s.inSubset,
        s -> node.weights.zoneFactor(s) == 1,
        s -> !s.quiesced && s.limits.isOpen(node.now) && hasRecentReport(s));
  }

  /** Whether a server can take anything at all. */
  boolean isOpen(Server s) {
    return s.state == State.READY
        && node.now >= s.noPlacementsUntil
        && s.limits.isOpen(node.now)
        && hasColdSlot(s);
  }

  /** Whether a server that is open may take this request. */
  boolean canTake(ActiveRequest h, Server s, boolean again) {
    return (again || !h.triedServers.contains(s))
        && h.isRepeatSafeAt(s, node.now)
        && node.limits.waitingRoom(
            node.now, s.limits, node.relativeValue(h), h.request.affinityGroup())
        && (node.relativeCost(h) <= MAX_COLD_COST || warmth(s) >= 1);
  }

  /** A server has started, perhaps just now. */
  void serverStarted(Server s) {
    s.coldShare = node.limits.budgetDivision.coldShare(node.now, AffinityGroups.orderingHash(s.id));
    if (warmth(s) < 1 && !coldServers.contains(s)) {
      coldServers.add(s);
    }
  }

  /** This node's part is told anew; whether it is another than before. */
  boolean updateShare(Balancer.BudgetShare s) {
    applyExpiry();
    BudgetDivision division = node.limits.budgetDivision;
    boolean other =
        division.update(
            node.now, s.fraction(), s.baseFraction(), s.index(), s.participants(), s.untilMicros());
    if (other) {
      redivide(node.now);
    }
    return other;
  }

  private void applyExpiry() {
    long ended = node.limits.budgetDivision.takeExpiry(node.now);
    if (ended <= node.now) {
      redivide(ended);
    }
  }

  private void redivide(long at) {
    for (Server s : coldServers) {
      double age = Math.max(0, at - s.startedAt) / (double) Node.SECOND;
      s.coldShare.changeSpacing(rampUp(s), age, node.limits.budgetDivision.inverseShare(node.now));
    }
    node.limits.tenantShares.setInverseShare(node.limits.budgetDivision.inverseShare(node.now));
  }

  /** The share of its capacity that a server surely has, by the slowest warm-up stated. */
  double warmth(Server s) {
    return s.startedAt > 0 ? node.limits.warmUp().warmth(ageSeconds(s)) : 1;
  }

  /** A place is this node's for as long as the window over which the server falls. */
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

  void takeColdSlot(Server s, double cost) {
    if (warmth(s) < 1) {
      s.coldShare.takeSlot(rampUp(s), ageSeconds(s), cost);
    }
  }

  /** A cold server is due once its token is whole: in large fleets its turn takes minutes. */
  private void scheduleColdServers() {
    coldServers.forEach(s -> s.limits.setWarmth(warmth(s)));
    coldServers.removeIf(s -> s.state != State.READY || warmth(s) >= 1);
    for (Server s : coldServers) {
      boolean light = !(s.limits.load(node.now) > node.weights.meanLoad());
      if (s.weight > 0 && light && node.weights.zoneFactor(s) == 1 && hasColdSlot(s)) {
        node.roundRobin.scheduleNow(s);
      }
    }
  }
}
