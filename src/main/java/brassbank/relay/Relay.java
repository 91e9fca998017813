package brassbank.relay;

import static brassbank.log.Field.flow;
import static brassbank.log.Field.value;

import brassbank.log.Log;
import brassbank.net.EventLoop;
import brassbank.net.Link;
import brassbank.net.Net;
import brassbank.relay.limits.DisconnectDecision;
import brassbank.relay.limits.PeerLimits;
import brassbank.relay.limits.QueueMemory;
import brassbank.relay.limits.RelayLimits;
import brassbank.relay.limits.SessionPeers;
import brassbank.relay.limits.Side;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** All established sessions, and the enforcement of the limits on their slow peers. */
public final class Relay {
  private static final Log LOG = Log.of("relay");

  /** How long a final line waits for the end of a line that the host has begun. */
  private static final long LINE_END_TIMEOUT_MICROS = 500_000;

  private final Net net;
  private final PeerLimits limits;
  private final QueueMemory memory;
  private final LineFeedScanner lineFeeds = new LineFeedScanner();

  /** Sessions of which a link is still open, by the number of the flow. */
  private final Map<Long, RelayedSession> sessions = new LinkedHashMap<>();

  private EventLoop.Timer evaluationTimer;

  /** When the last wait for the end of a line ends, in {@link #nowMicros}. */
  private long lineEndDeadlineMicros = Long.MAX_VALUE;

  /** A task that frees memory is scheduled. */
  private boolean freeingMemory;

  /**
   * @param limits the limits on slow peers
   * @param memory the limit on the memory of all sessions together
   */
  public Relay(Net net, RelayLimits limits, QueueMemory memory) {
    this.net = net;
    this.memory = memory;
    this.limits = new PeerLimits(limits);
    net.buffers().readQuota(limits.readQuotaBytes());
  }

  /**
   * Changes the limits, also for established sessions.
   *
   * @throws IllegalArgumentException if there is no memory for the read quota; nothing changes then
   */
  public void configure(RelayLimits next) {
    net.buffers().readQuota(next.readQuotaBytes());
    limits.configure(next);
    evaluate();
  }

  /**
   * Creates the session of two links; {@link RelayedSession#start} starts relaying.
   *
   * @param flow the flow's number, which no other open session has
   * @param practice the practice to whose budget the session counts, or null
   */
  public RelayedSession openSession(
      long flow, String practice, Link client, Link target, SessionObserver observer) {
    RelayedSession session =
        new RelayedSession(
            this, limits.open(flow, practice == null ? "" : practice), client, target, observer);
    sessions.put(flow, session);
    return session;
  }

  /**
   * Returns whether a client has yet to read the end of its session. What the kernel has accepted
   * is lost if the process ends before, as the kernel then answers a client's line with a reset.
   */
  public boolean awaitsClients() {
    return sessions.values().stream().anyMatch(RelayedSession::awaitsClient);
  }

  /**
   * Has all final lines sent within this time, in microseconds from now, whether or not the hosts
   * end the lines that they have begun; called when the process is about to end.
   */
  public void limitLineEndWaits(long micros) {
    lineEndDeadlineMicros = nowMicros() + micros;
  }

  /** Returns how long a final line decided now waits for the end of the host's line. */
  long lineEndTimeoutMicros() {
    return Math.max(0, Math.min(LINE_END_TIMEOUT_MICROS, lineEndDeadlineMicros - nowMicros()));
  }

  /**
   * Resets the sessions that still have data to send to their client; called when the process ends.
   * A reset keeps those clients from taking the close for a regular end of the session.
   */
  public void resetPending() {
    List.copyOf(sessions.values()).stream()
        .filter(RelayedSession::hasPendingClientData)
        .forEach(RelayedSession::reset);
  }

  /** Removes a session whose links are both closed. */
  void closed(RelayedSession session) {
    sessions.remove(session.peers().id());
    limits.close(session.peers());
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

  /** Returns the time for the limits, in microseconds of the monotonic clock. */
  long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(net.clock().nanos());
  }

  /** Returns the most bytes that a session reads at once now. */
  int readQuotaBytes() {
    return memory.readQuotaBytes(limits.limits().readQuotaBytes(), usedBytes());
  }

  /** Returns whether so much is queued for this side that the other side must not be read. */
  boolean isFull(SessionPeers peers, Side side) {
    return limits.isFull(peers, side)
        || (memory.isShort(usedBytes()) && peers.queuedBytes(side) > 0);
  }

  /** Returns how many bytes may be queued for this side when the other side is read again. */
  int resumeBytes(Side side) {
    // Resumes at half the limit: resuming at the first free byte would read and write a few bytes
    // per loop iteration.
    return memory.isShort(usedBytes()) ? 0 : limits.limits().of(side).maxQueuedBytes() / 2;
  }

  private long usedBytes() {
    return net.buffers().leasedBytes();
  }

  /** Ends sessions soon if the memory of all sessions exceeds its limit. */
  void checkMemory() {
    if (!freeingMemory && memory.excessBytes(usedBytes()) > 0) {
      freeingMemory = true;
      net.loop().schedule(0, this::freeMemory);
    }
  }

  private void freeMemory() {
    freeingMemory = false;
    carryOut(limits.freeMemory(nowMicros(), memory.excessBytes(usedBytes())));
  }

  /** Schedules the next evaluation of the limits, unless one is scheduled or none is needed. */
  void scheduleEvaluation() {
    long delay = limits.evaluationDelayMicros();
    if (evaluationTimer == null && delay >= 0) {
      evaluationTimer = net.loop().schedule(delay, this::evaluate);
    }
  }

  /** Schedules an evaluation without delay, because a budget is exceeded. */
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
    carryOut(limits.evaluate(nowMicros()));
    scheduleEvaluation();
  }

  private void carryOut(List<DisconnectDecision> decisions) {
    for (DisconnectDecision decision : decisions) {
      RelayedSession session = sessions.get(decision.session().id());
      logDecision(decision);
      session.disconnect(decision);
    }
    if (!decisions.isEmpty()) {
      LOG.warn(
          "slow-peers",
          value("given_up", decisions.size()),
          value("waiting", limits.queuedBytes()),
          value("sessions", limits.sessions()));
    }
  }

  private static void logDecision(DisconnectDecision decision) {
    LOG.info(
        "slow-peer",
        flow(decision.session().id()),
        value("practice", decision.session().practice()),
        value("side", logName(decision.side())),
        value("reason", logName(decision.reason())),
        value("at_once", decision.immediate()),
        value("waiting", decision.queuedBytes()),
        value("age_ms", TimeUnit.MICROSECONDS.toMillis(decision.ageMicros())));
  }

  private static String logName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
