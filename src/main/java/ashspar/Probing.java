package ashspar;

import ashspar.Balancer.State;

/** Probes: when a server is asked for its load, and what becomes of one that does not answer. */
final class Probing {
  private static final long FRESH_REPORT_MICROS =
      600 * Node.MS; // a younger report is as good as a new one
  private static final int MAX_PROBED_AHEAD =
      3; // servers: more herd all nodes to the one quiet server

  /** A report this old is renewed where connections are held: one that slowed down kept them. */
  private static final long STALE_REPORT_MICROS = 3 * Node.TICK_MICROS / 2;

  private final Node node;

  Probing(Node node) {
    this.node = node;
  }

  void probe(Server s) {
    boolean free = !s.probePending && s.state == State.READY && node.now >= s.noProbesUntil;
    if (free && node.settings.permissions().probes()) {
      s.probePending = true;
      node.limits.probeBudget.spend();
      node.actions.probe(s.id);
    }
  }

  private boolean isProbedRegularly(Server s) {
    return s.inSubset || node.limits.subsetScope.covers(node.weights.zoneFactor(s) == 1);
  }

  /** Probes the servers whose turn comes next, so that the weights are true where they decide. */
  void probeUpcoming(ActiveRequest h) {
    for (Server s : node.roundRobin.upcoming(MAX_PROBED_AHEAD, s -> isCandidate(h, s))) {
      if (node.now - s.reportedAt > FRESH_REPORT_MICROS && node.limits.probeBudget.hasCredit()) {
        probe(s);
      }
      if (s.probePending) {
        s.requestsAwaitingProbe.add(h);
        h.pendingProbes++;
      }
    }
  }

  private boolean isCandidate(ActiveRequest h, Server s) {
    return s.state == State.READY
        && isProbedRegularly(s)
        && !h.triedServers.contains(s)
        && h.isRepeatSafeAt(s, node.now)
        && node.admission.hasColdSlot(s);
  }

  /** At each interval: asks again where no answer came, or one that tells of the past. */
  void tick() {
    for (Server s : node.readyServers) {
      boolean held = !s.connections.isEmpty() || (node.subset != null && isProbedRegularly(s));
      boolean old =
          held
              && node.now - s.reportedAt
                  >= (s.inSubset ? STALE_REPORT_MICROS : 2 * STALE_REPORT_MICROS);
      boolean due = s.quiesced || s.limits.outlierRecord.awaitsProbe() || s.reportedAt < 0;
      if (s.quiesced && !node.settings.permissions().probes()) {
        restore(s);
      } else if (old || (due && (held || isProbedRegularly(s)))) {
        probe(s);
      }
    }
  }

  /** While some wait, a report that shows room lets them out. */
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

  void restore(Server s) {
    if (s.quiesced) {
      s.quiesced = false;
      node.roundRobin.setWeight(s, Math.min(1, node.weights.targetWeight(s)));
      node.roundRobin.schedule(s);
    }
  }
}
