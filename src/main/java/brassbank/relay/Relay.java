package brassbank.relay;

import static brassbank.log.Field.flow;
import static brassbank.log.Field.value;

import brassbank.log.Log;
import brassbank.net.EventLoop;
import brassbank.net.Link;
import brassbank.net.Net;
import brassbank.relay.limits.DisconnectDecision;
import brassbank.relay.limits.PeerLimits;
import brassbank.relay.limits.RelayLimits;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** All standing sessions, and what their slow peers may cost together. */
public final class Relay {
  private static final Log LOG = Log.of("relay");

  private final Net net;
  private final PeerLimits limits;
  private final LineFeedScanner lineFeeds = new LineFeedScanner();

  /** Sessions whose links are not both given back, by the flow's number. */
  private final Map<Long, RelayedSession> sessions = new LinkedHashMap<>();

  private EventLoop.Timer evaluationTimer;

  public Relay(Net net, RelayLimits limits) {
    this.net = net;
    this.limits = new PeerLimits(limits);
    net.buffers().readQuota(limits.readQuotaBytes());
  }

  /** Other limits hold from here on, for the sessions that stand as well. */
  public void configure(RelayLimits next) {
    limits.configure(next);
    net.buffers().readQuota(next.readQuotaBytes());
    evaluate();
  }

  /**
   * Two links become one session, which {@link RelayedSession#start} begins.
   *
   * @param flow its number, which no other open session has
   * @param practice whose budget it counts to, or null
   */
  public RelayedSession openSession(
      long flow, String practice, Link client, Link target, SessionObserver watcher) {
    RelayedSession pair =
        new RelayedSession(
            this, limits.open(flow, practice == null ? "" : practice), client, target, watcher);
    sessions.put(flow, pair);
    return pair;
  }

  /** Whether a client is still owed bytes, or a last line behind a line that is on its way. */
  public boolean hasPendingClientData() {
    return sessions.values().stream().anyMatch(RelayedSession::hasPendingClientData);
  }

  /** The program ends: whoever is still owed something must not take that for a proper end. */
  public void resetPending() {
    List.copyOf(sessions.values()).stream()
        .filter(RelayedSession::hasPendingClientData)
        .forEach(RelayedSession::reset);
  }

  /** Both links of a session are given back. */
  void closed(RelayedSession pair) {
    sessions.remove(pair.peers().id());
    limits.close(pair.peers());
  }

  PeerLimits limits() {
    return limits;
  }

  LineFeedScanner lineFeeds() {
    return lineFeeds;
  }

  EventLoop loop() {
    return net.loop();
  }

  Net net() {
    return net;
  }

  /** Microseconds for the limits. */
  long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(net.clock().nanos());
  }

  /** Something waits, or has begun, that may one day be too much. */
  void scheduleEvaluation() {
    long period = limits.evaluationDelayMicros();
    if (evaluationTimer == null && period >= 0) {
      evaluationTimer = net.loop().schedule(period, this::evaluate);
    }
  }

  /** A budget is broken: who pays for it is decided next. */
  void evaluateSoon() {
    if (evaluationTimer != null) {
      evaluationTimer.cancel();
    }
    evaluationTimer = net.loop().schedule(0, this::evaluate);
  }

  private void evaluate() {
    if (evaluationTimer != null) {
      evaluationTimer.cancel();
      evaluationTimer = null;
    }
    List<DisconnectDecision> verdicts = limits.evaluate(nowMicros());
    for (DisconnectDecision verdict : verdicts) {
      RelayedSession pair = sessions.get(verdict.session().id());
      logDecision(verdict);
      pair.disconnect(verdict);
    }
    if (!verdicts.isEmpty()) {
      LOG.warn(
          "slow-peers",
          value("given_up", verdicts.size()),
          value("waiting", limits.queuedBytes()),
          value("sessions", limits.sessions()));
    }
    scheduleEvaluation();
  }

  private static void logDecision(DisconnectDecision verdict) {
    LOG.info(
        "slow-peer",
        flow(verdict.session().id()),
        value("practice", verdict.session().practice()),
        value("side", logName(verdict.side())),
        value("reason", logName(verdict.reason())),
        value("at_once", verdict.immediate()),
        value("waiting", verdict.queuedBytes()),
        value("age_ms", TimeUnit.MICROSECONDS.toMillis(verdict.ageMicros())));
  }

  private static String logName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
