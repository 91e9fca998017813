package ashspar;

import ashspar.Balancer.State;

/** Requests load reports from servers and quiesces servers that do not answer. */
final class Probing {
  // A younger report is not worth a probe.
  private static final long FRESH_REPORT_MICROS = 600 * Node.MS;
  // More would make all nodes converge on the one idle server.
  private static final int MAX_PROBED_AHEAD = 3;

  /**
   * The age at which a report is refreshed if this node has connections on the server: a server
   * that had slowed down kept its connections because no new report revealed it.
   */
  private static final long STALE_REPORT_MICROS = 3 * Node.TICK_MICROS / 2;

  private final Node node;

  Probing(Node node) {
    this.node = node;
  }

  /** Probes a server unless a probe is already pending or probes are not allowed now. */
  void probe(Server s) {
    boolean isAllowed = !s.probePending && s.state == State.READY && node.now >= s.noProbesUntil;
    if (isAllowed && node.settings.permissions().probes()) {
      s.probePending = true;
      node.limits.probeBudget.spend();
      node.actions.probe(s.id);
    }
  }

  /** Returns whether the server is in this node's subset or in the current scope beyond it. */
  private boolean isProbedRegularly(Server s) {
    return s.inSubset || node.limits.subsetScope.covers(node.weights.zoneFactor(s) == 1);
  }

  /**
   * Probes the servers whose turns come next, so that the weights that decide the placement are up
   * to date.
   */
  void probeUpcoming(ActiveRequest active) {
    for (Server s : node.roundRobin.upcoming(MAX_PROBED_AHEAD, s -> isCandidate(active, s))) {
      if (node.now - s.reportedAt > FRESH_REPORT_MICROS && node.limits.probeBudget.hasCredit()) {
        probe(s);
      }
      if (s.probePending) {
        s.requestsAwaitingProbe.add(active);
        active.pendingProbes++;
      }
    }
  }

  /** Returns whether the request could be placed on the server. */
  private boolean isCandidate(ActiveRequest active, Server s) {
    return s.state == State.READY
        && isProbedRegularly(s)
        && !active.triedServers.contains(s)
        && active.isRepeatSafeAt(s, node.now)
        && node.admission.hasColdSlot(s);
  }

  /** Probes servers that have not answered or whose report is outdated. Called once per tick. */
  void tick() {
    for (Server s : node.readyServers) {
      boolean isWatched = !s.connections.isEmpty() || (node.subset != null && isProbedRegularly(s));
      boolean isOutdated =
          isWatched
              && node.now - s.reportedAt
                  >= (s.inSubset ? STALE_REPORT_MICROS : 2 * STALE_REPORT_MICROS);
      boolean isDue = s.quiesced || s.limits.outlierRecord.awaitsProbe() || s.reportedAt < 0;
      if (s.quiesced && !node.settings.permissions().probes()) {
        restore(s);
      } else if (isOutdated || (isDue && (isWatched || isProbedRegularly(s)))) {
        probe(s);
      }
    }
  }

  /** Probes servers while requests are queued, since a report that shows capacity releases them. */
  void refreshReports() {
    for (Server s : node.readyServers) {
      if (!s.quiesced
          && node.now >= s.noProbesUntil
          && node.now - s.reportedAt > FRESH_REPORT_MICROS
          && node.limits.probeBudget.hasCredit()) {
        probe(s);
      }
    }
  }

  /** Takes a server out of the rotation until it answers a probe. */
  void quiesce(Server s) {
    if (!s.quiesced) {
      node.logRateLimited(
          "quiesced "
              + s.id
              + ": no answer in time; "
              + node.readyServers.size()
              + " servers ready");
      s.quiesced = true;
      node.roundRobin.setWeight(s, 0);
      node.roundRobin.schedule(s);
    }
  }

  /** Returns a quiesced server to the rotation. */
  void restore(Server s) {
    if (s.quiesced) {
      s.quiesced = false;
      node.roundRobin.setWeight(s, Math.min(1, node.weights.targetWeight(s)));
      node.roundRobin.schedule(s);
    }
  }
}
