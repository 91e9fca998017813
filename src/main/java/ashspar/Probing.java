package ashspar;

import ashspar.Balancer.State;

/** Probes: when a server is asked for its load, and what becomes of one that does not answer. */
final class Probing {
  private static final long FRESH = 600 * Node.MS; // a younger report is as good as a new one
  private static final int LOOK_AHEAD = 3; // servers: more herd all nodes to the one quiet server

  /** A report this old is renewed where connections are held: one that slowed down kept them. */
  private static final long STALE = 3 * Node.INTERVAL / 2;

  private final Node node;

  Probing(Node node) {
    this.node = node;
  }

  void probe(Server s) {
    boolean free = !s.probing && s.state == State.READY && node.now >= s.askFrom;
    if (free && node.settings.permissions().probes()) {
      s.probing = true;
      node.limits.probes.spend();
      node.actions.probe(s.id);
    }
  }

  private boolean asks(Server s) {
    return s.own || node.limits.reach.covers(node.weights.nearness(s) == 1);
  }

  /** Probes the servers whose turn comes next, so that the weights are true where they decide. */
  void lookAhead(Held h) {
    for (Server s : node.wheels.ahead(LOOK_AHEAD, s -> worthAsking(h, s))) {
      if (node.now - s.reportAt > FRESH && node.limits.probes.some()) {
        probe(s);
      }
      if (s.probing) {
        s.waiting.add(h);
        h.awaited++;
      }
    }
  }

  private boolean worthAsking(Held h, Server s) {
    return s.state == State.READY
        && asks(s)
        && !h.tried.contains(s)
        && h.sharesMemory(s, node.now)
        && node.admission.coldAllows(s);
  }

  /** At each interval: asks again where no answer came, or one that tells of the past. */
  void tick() {
    for (Server s : node.ready) {
      boolean held = !s.open.isEmpty() || (node.own != null && asks(s));
      boolean old = held && node.now - s.reportAt >= (s.own ? STALE : 2 * STALE);
      boolean due = s.quiesced || s.limits.record.awaitsProbe() || s.reportAt < 0;
      if (s.quiesced && !node.settings.permissions().probes()) {
        restore(s);
      } else if (old || (due && (held || asks(s)))) {
        probe(s);
      }
    }
  }

  /** While some wait, a report that shows room lets them out. */
  void renew() {
    for (Server s : node.ready) {
      if (!s.quiesced
          && node.now >= s.askFrom
          && node.now - s.reportAt > FRESH
          && node.limits.probes.some()) {
        probe(s);
      }
    }
  }

  void quiesce(Server s) {
    if (!s.quiesced) {
      node.say("quiesced " + s.id + ": no answer in time; " + node.ready.size() + " servers ready");
      s.quiesced = true;
      node.wheels.commit(s, 0);
      node.wheels.enqueue(s);
    }
  }

  void restore(Server s) {
    if (s.quiesced) {
      s.quiesced = false;
      node.wheels.commit(s, Math.min(1, node.weights.target(s)));
      node.wheels.enqueue(s);
    }
  }
}
