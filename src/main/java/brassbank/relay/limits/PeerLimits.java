package brassbank.relay.limits;

import brassbank.relay.limits.DisconnectDecision.Reason;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Enforces the limits on slow peers over all sessions. A peer is <em>behind</em> while bytes are
 * queued for it. A session whose peers are not behind and have no unfinished line costs only its
 * entry.
 *
 * <p>All methods take constant time except {@link #evaluate}, which iterates over the peers that
 * are behind or have an unfinished line, and sorts them only if a budget is exceeded.
 */
public final class PeerLimits {
  private static final long MAX_EVALUATION_DELAY_MICROS = 1_000_000;
  private static final long MIN_EVALUATION_DELAY_MICROS = 20_000;

  /** Number of evaluations during the shortest of the time limits. */
  private static final int EVALUATIONS_PER_LIMIT = 16;

  private RelayLimits limits;
  private final Map<String, Practice> practices = new HashMap<>();

  /** Peers that are behind or have an unfinished line, and some that recently were or had. */
  private final List<Peer> watched = new ArrayList<>();

  private final Map<Reason, Long> disconnects = new EnumMap<>(Reason.class);
  private long queuedBytes;
  private int sessions;

  public PeerLimits(RelayLimits limits) {
    this.limits = limits;
  }

  /** Changes the limits; the measurements so far are kept. */
  public void configure(RelayLimits next) {
    limits = next;
  }

  public RelayLimits limits() {
    return limits;
  }

  /**
   * Adds a session, until {@link #close}.
   *
   * @param id the caller's number of the session; of two equally severe peers, the one with the
   *     lower number is disconnected first
   * @param practice the practice to whose budget the session counts; "" if there is none
   */
  public SessionPeers open(long id, String practice) {
    Practice owner = practices.computeIfAbsent(practice, Practice::new);
    owner.sessions++;
    sessions++;
    return new SessionPeers(id, owner);
  }

  /**
   * Reports that a session has ended, and that only what is queued is still sent: no graceful
   * disconnect can be decided for it any more.
   */
  public void sessionEnding(SessionPeers session) {
    session.disconnecting = true;
  }

  /** Removes a session and its queued bytes; a second call does nothing. */
  public void close(SessionPeers session) {
    if (session.closed) {
      return;
    }
    session.closed = true;
    sessions--;
    remove(session.get(Side.CLIENT));
    remove(session.get(Side.TARGET));
    if (--session.practice.sessions == 0) {
      practices.remove(session.practice.name);
    }
  }

  private void remove(Peer peer) {
    if (peer != null) {
      addQueued(peer, -peer.queuedBytes);
      forget(peer);
    }
  }

  /** Drops the state of a peer that is not behind and has no unfinished line. */
  private void forget(Peer peer) {
    unwatch(peer);
    peer.session.forget(peer.side);
  }

  /** Reports bytes that were queued for this side. */
  public void bytesQueued(SessionPeers session, Side side, long bytes, long now) {
    if (bytes == 0) {
      return;
    }
    Peer peer = peer(session, side, bytes);
    if (peer.backlog == null) {
      peer.backlog = new Backlog();
    }
    peer.backlog.queued(bytes, !peer.isBehind(), now, limits.of(side));
    addQueued(peer, bytes);
    watch(peer);
  }

  /**
   * Reports queued bytes that this side has accepted.
   *
   * @throws IllegalArgumentException if there are more than were queued
   */
  public void bytesDrained(SessionPeers session, Side side, long bytes) {
    if (bytes > session.queuedBytes(side)) {
      throw new IllegalArgumentException(
          bytes + " bytes drained, but only " + session.queuedBytes(side) + " were queued");
    }
    if (bytes > 0) {
      Peer peer = peer(session, side, bytes);
      peer.backlog.drained(bytes);
      addQueued(peer, -bytes);
    }
  }

  private static Peer peer(SessionPeers session, Side side, long bytes) {
    if (session.closed || bytes < 0) {
      throw new IllegalArgumentException(
          "the session is closed, or the number of bytes is negative: " + bytes);
    }
    return session.getOrCreate(side);
  }

  private void addQueued(Peer peer, long bytes) {
    peer.queuedBytes += bytes;
    peer.session.practice.queuedBytes += bytes;
    queuedBytes += bytes;
  }

  /** Reports that the bytes from this side now end within a line, which began now. */
  public void lineStarted(SessionPeers session, Side side, long now) {
    Peer peer = peer(session, side, 0);
    peer.lineStartMicros = now;
    watch(peer);
  }

  /** Reports that the bytes from this side now end with the end of a line. */
  public void lineEnded(SessionPeers session, Side side) {
    Peer peer = session.get(side);
    if (peer != null) {
      peer.lineStartMicros = Peer.NO_LINE;
    }
  }

  /** Reports that this side is not read from now on, so that it cannot end its line. */
  public void readPaused(SessionPeers session, Side side) {
    session.setRead(side, false);
  }

  /**
   * Reports that this side is read again. It has the whole time to end its line, and a host to take
   * what is queued for it.
   */
  public void readResumed(SessionPeers session, Side side, long now) {
    session.setRead(side, true);
    Peer peer = session.get(side);
    if (peer == null) {
      return;
    }
    if (peer.lineStartMicros != Peer.NO_LINE) {
      peer.lineStartMicros = now;
    }
    if (side == Side.TARGET && peer.isBehind()) {
      peer.backlog.restart(now);
    }
  }

  /** Returns whether the queue of this side is full, so that the other side must not be read. */
  public boolean isFull(SessionPeers session, Side side) {
    return session.queuedBytes(side) >= limits.of(side).maxQueuedBytes();
  }

  private void watch(Peer peer) {
    if (peer.watchedIndex < 0) {
      peer.watchedIndex = watched.size();
      watched.add(peer);
    }
  }

  private void unwatch(Peer peer) {
    if (peer.watchedIndex >= 0) {
      Peer last = watched.remove(watched.size() - 1);
      if (last != peer) {
        watched.set(peer.watchedIndex, last);
        last.watchedIndex = peer.watchedIndex;
      }
      peer.watchedIndex = -1;
    }
  }

  /**
   * Returns whether a budget that the session counts to is exceeded, so that {@link #evaluate} is
   * to be called without delay.
   */
  public boolean isOverBudget(SessionPeers session) {
    return queuedBytes > limits.budgetBytes()
        || session.practice.queuedBytes > limits.budgetOf(session.practice.name);
  }

  /**
   * Returns the delay until the next call of {@link #evaluate} in microseconds, or -1 if none is
   * needed before further bytes are queued or a line is started.
   */
  public long evaluationDelayMicros() {
    if (watched.isEmpty() || !limits.canDisconnect()) {
      return -1;
    }
    long shortest = Math.min(shortest(limits.client()), shortest(limits.target()));
    return Math.max(
        MIN_EVALUATION_DELAY_MICROS,
        Math.min(MAX_EVALUATION_DELAY_MICROS, shortest / EVALUATIONS_PER_LIMIT));
  }

  private static long shortest(SideLimits side) {
    return Math.min(side.maxLineMicros(), Math.min(side.maxAgeMicros(), side.windowMicros()));
  }

  /**
   * Decides which peers are to be disconnected now. A session gets at most one graceful and one
   * immediate decision. The caller carries out all decisions; the queued bytes of both sides of an
   * immediately disconnected session count as freed.
   */
  public List<DisconnectDecision> evaluate(long now) {
    List<DisconnectDecision> decisions = new ArrayList<>();
    for (int i = watched.size() - 1; i >= 0; i--) {
      Peer peer = watched.get(i);
      if (!peer.isBehind() && peer.lineStartMicros == Peer.NO_LINE) {
        forget(peer);
      } else if (!peer.session.disconnecting) {
        Reason reason = violatedLimit(peer, now);
        if (reason != null) {
          peer.session.disconnecting = true;
          decisions.add(decision(peer, reason, false, now));
        }
      }
    }
    if (enforceBudgets(now, decisions)) {
      decisions.removeIf(decision -> !decision.immediate() && decision.session().disconnected);
    }
    decisions.forEach(decision -> disconnects.merge(decision.reason(), 1L, Long::sum));
    return decisions;
  }

  /** Returns which of its own limits the peer violates, or null. */
  private Reason violatedLimit(Peer peer, long now) {
    SideLimits own = limits.of(peer.side);
    if (peer.isBehind() && isJudgedByReading(peer)) {
      if (peer.backlog.isBelowMinRate(now, own)) {
        return Reason.RATE;
      }
      if (peer.backlog.exceedsMaxAge(now, own)) {
        return Reason.AGE;
      }
    }
    if (peer.lineStartMicros != Peer.NO_LINE) {
      if (!peer.session.isRead(peer.side) || isFull(peer.session, peer.side.other())) {
        // A peer that is not read, or will not be, cannot end its line.
        peer.lineStartMicros = now;
      } else if (now - peer.lineStartMicros > own.maxLineMicros()) {
        return Reason.LINE;
      }
    }
    return null;
  }

  /**
   * Returns whether the peer's reading says something of it. A host that is not read may be blocked
   * while it writes, and so read nothing. A client in that place is judged: of two peers that wait
   * for each other, one has to give way.
   */
  private static boolean isJudgedByReading(Peer peer) {
    return peer.side == Side.CLIENT || peer.session.isRead(Side.TARGET);
  }

  /** Disconnects sessions until all budgets are kept; returns false if none was exceeded. */
  private boolean enforceBudgets(long now, List<DisconnectDecision> decisions) {
    long total = queuedBytes;
    Map<Practice, Long> totals = new LinkedHashMap<>();
    for (Peer peer : watched) {
      Practice practice = peer.session.practice;
      totals.putIfAbsent(practice, practice.queuedBytes);
      if (peer.session.disconnected) {
        total -= peer.queuedBytes;
        totals.merge(practice, -peer.queuedBytes, Long::sum);
      }
    }
    if (total <= limits.budgetBytes()
        && totals.entrySet().stream().noneMatch(this::exceedsBudget)) {
      return false;
    }
    // Sessions that are being disconnected come first, then peers by descending severity.
    List<Peer> candidates = new ArrayList<>(watched);
    candidates.removeIf(peer -> !peer.isBehind() || peer.session.disconnected);
    candidates.sort(
        Comparator.comparing((Peer peer) -> !peer.session.disconnecting)
            .thenComparing(mostSevereFirst(now)));
    for (Map.Entry<Practice, Long> practice : totals.entrySet()) {
      for (int i = 0; i < candidates.size() && exceedsBudget(practice); i++) {
        Peer peer = candidates.get(i);
        if (peer.session.practice == practice.getKey()) {
          long freed = disconnectImmediately(peer, Reason.PRACTICE_BUDGET, now, decisions);
          practice.setValue(practice.getValue() - freed);
          total -= freed;
        }
      }
    }
    for (int i = 0; i < candidates.size() && total > limits.budgetBytes(); i++) {
      total -= disconnectImmediately(candidates.get(i), Reason.BUDGET, now, decisions);
    }
    return true;
  }

  /**
   * Decides which sessions end so that at least this many queued bytes are freed: those whose peers
   * have the most bytes queued for the longest time come first. If those do not suffice, sessions
   * that are ending gracefully end at once. The caller carries out all decisions.
   */
  public List<DisconnectDecision> freeMemory(long now, long bytes) {
    List<Peer> candidates = new ArrayList<>(watched);
    candidates.removeIf(peer -> !peer.isBehind() || peer.session.disconnected);
    candidates.sort(
        Comparator.comparing((Peer peer) -> peer.session.disconnecting)
            .thenComparing(mostSevereFirst(now)));
    List<DisconnectDecision> decisions = new ArrayList<>();
    Set<SessionPeers> decided = new HashSet<>();
    long remaining = bytes;
    for (int i = 0; i < candidates.size() && remaining > 0; i++) {
      SessionPeers session = candidates.get(i).session;
      if (decided.add(session)) {
        session.disconnected = session.disconnecting;
        session.disconnecting = true;
        decisions.add(decision(candidates.get(i), Reason.MEMORY, session.disconnected, now));
        remaining -= session.queuedBytes(Side.CLIENT) + session.queuedBytes(Side.TARGET);
      }
    }
    decisions.forEach(decision -> disconnects.merge(decision.reason(), 1L, Long::sum));
    return decisions;
  }

  private static Comparator<Peer> mostSevereFirst(long now) {
    return Comparator.comparingDouble((Peer peer) -> -peer.severity(now))
        .thenComparing(peer -> peer.session.id)
        .thenComparing(peer -> peer.side);
  }

  private boolean exceedsBudget(Map.Entry<Practice, Long> total) {
    return total.getValue() > limits.budgetOf(total.getKey().name);
  }

  /** Decides to disconnect a session at once and returns how many bytes that frees. */
  private long disconnectImmediately(
      Peer peer, Reason reason, long now, List<DisconnectDecision> decisions) {
    SessionPeers session = peer.session;
    if (session.disconnected) {
      return 0;
    }
    session.disconnected = true;
    session.disconnecting = true;
    decisions.add(decision(peer, reason, true, now));
    return session.queuedBytes(Side.CLIENT) + session.queuedBytes(Side.TARGET);
  }

  private static DisconnectDecision decision(
      Peer peer, Reason reason, boolean immediate, long now) {
    return new DisconnectDecision(
        peer.session, peer.side, reason, immediate, peer.queuedBytes, peer.ageMicros(now));
  }

  /** Returns the number of bytes queued for all peers. */
  public long queuedBytes() {
    return queuedBytes;
  }

  /** Returns the number of open sessions. */
  public int sessions() {
    return sessions;
  }

  /** Returns how many disconnect decisions had this reason so far. */
  public long disconnects(Reason reason) {
    return disconnects.getOrDefault(reason, 0L);
  }
}
