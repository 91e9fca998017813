package brassbank.relay.limits;

import brassbank.relay.limits.DisconnectDecision.Reason;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The limits on slow peers, over all sessions. A peer is <em>behind</em> while bytes wait for it;
 * who is not, and who is in no line, costs nothing here but its entry.
 *
 * <p>Each call takes constant time, but for {@link #evaluate}, which looks at those that are behind
 * or in a line, and sorts them only where a budget is broken.
 */
public final class PeerLimits {
  private static final long MAX_EVALUATION_DELAY_MICROS = 1_000_000;
  private static final long MIN_EVALUATION_DELAY_MICROS = 20_000;

  /** How often the shortest of the limits is looked at while it runs. */
  private static final int EVALUATIONS_PER_LIMIT = 16;

  private RelayLimits limits;
  private final Map<String, Practice> practices = new HashMap<>();

  /** Peers that are behind or in a line, and some that were so lately. */
  private final List<Peer> watched = new ArrayList<>();

  private final Map<Reason, Long> disconnects = new EnumMap<>(Reason.class);
  private long queuedBytes;
  private int sessions;

  public PeerLimits(RelayLimits limits) {
    this.limits = limits;
  }

  /** Other limits hold from here on; what was measured goes on. */
  public void configure(RelayLimits next) {
    limits = next;
  }

  public RelayLimits limits() {
    return limits;
  }

  /**
   * A session stands. {@link #close} gives it back.
   *
   * @param id the caller's number for it; of two equal offenders the lower one goes first
   * @param practice whose budget it counts to; "" where it has none
   */
  public SessionPeers open(long id, String practice) {
    Practice of = practices.computeIfAbsent(practice, Practice::new);
    of.sessions++;
    sessions++;
    return new SessionPeers(id, of);
  }

  /** A session is over, and what waited in it is gone; the second call does nothing. */
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
      count(peer, -peer.queuedBytes);
      forget(peer);
    }
  }

  /** Nothing waits for it and it is in no line. */
  private void forget(Peer peer) {
    unwatch(peer);
    peer.session.forget(peer.side);
  }

  /** So many more bytes wait for this side. */
  public void bytesQueued(SessionPeers session, Side side, long bytes, long now) {
    if (bytes == 0) {
      return;
    }
    Peer peer = peer(session, side, bytes);
    if (peer.backlog == null) {
      peer.backlog = new Backlog();
    }
    peer.backlog.queued(bytes, !peer.isBehind(), now, limits.of(side));
    count(peer, bytes);
    watch(peer);
  }

  /** This side has taken so many of the bytes that waited. */
  public void bytesDrained(SessionPeers session, Side side, long bytes) {
    if (bytes > session.queuedBytes(side)) {
      throw new IllegalArgumentException(
          bytes + " bytes taken, " + session.queuedBytes(side) + " waited");
    }
    if (bytes > 0) {
      Peer peer = peer(session, side, bytes);
      peer.backlog.drained(bytes);
      count(peer, -bytes);
    }
  }

  private static Peer peer(SessionPeers session, Side side, long bytes) {
    if (session.closed || bytes < 0) {
      throw new IllegalArgumentException("the session is over, or there are " + bytes + " bytes");
    }
    return session.getOrCreate(side);
  }

  private void count(Peer peer, long bytes) {
    peer.queuedBytes += bytes;
    peer.session.practice.queuedBytes += bytes;
    queuedBytes += bytes;
  }

  /** What came last from this side ends within a line, which began now. */
  public void lineStarted(SessionPeers session, Side side, long now) {
    Peer peer = peer(session, side, 0);
    peer.lineStartMicros = now;
    watch(peer);
  }

  /** What came last from this side ends with a line's end. */
  public void lineEnded(SessionPeers session, Side side) {
    Peer peer = session.get(side);
    if (peer != null) {
      peer.lineStartMicros = Peer.NO_LINE;
    }
  }

  /** Whether this side has as much waiting as it may, so that the other one is not to be read. */
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
   * Whether a budget is broken, so that {@link #evaluate} should be asked now and not in a while.
   */
  public boolean isOverBudget(SessionPeers session) {
    return queuedBytes > limits.budgetBytes()
        || session.practice.queuedBytes > limits.budgetOf(session.practice.name);
  }

  /**
   * How many microseconds from now {@link #evaluate} is to be asked again, or -1: not until news.
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
   * Who is given up now. A session is told once politely and once at once, at most. The caller ends
   * them all; whoever is told at once is taken to be gone, with what waits on both its sides.
   */
  public List<DisconnectDecision> evaluate(long now) {
    List<DisconnectDecision> given = new ArrayList<>();
    for (int i = watched.size() - 1; i >= 0; i--) {
      Peer peer = watched.get(i);
      if (!peer.isBehind() && peer.lineStartMicros == Peer.NO_LINE) {
        forget(peer);
      } else if (!peer.session.disconnecting) {
        Reason reason = violatedLimit(peer, now);
        if (reason != null) {
          peer.session.disconnecting = true;
          given.add(verdict(peer, reason, false, now));
        }
      }
    }
    if (enforceBudgets(now, given)) {
      given.removeIf(verdict -> !verdict.immediate() && verdict.session().disconnected);
    }
    given.forEach(verdict -> disconnects.merge(verdict.reason(), 1L, Long::sum));
    return given;
  }

  /** What is wrong with a peer by itself, or null. */
  private Reason violatedLimit(Peer peer, long now) {
    SideLimits own = limits.of(peer.side);
    if (peer.isBehind()) {
      if (peer.backlog.isBelowMinRate(now, own)) {
        return Reason.RATE;
      }
      if (peer.backlog.exceedsMaxAge(now, own)) {
        return Reason.AGE;
      }
    }
    if (peer.lineStartMicros != Peer.NO_LINE) {
      if (isFull(peer.session, peer.side.other())) {
        // It is not read while the other side is full, and so cannot end its line: no fault of its.
        peer.lineStartMicros = now;
      } else if (now - peer.lineStartMicros > own.maxLineMicros()) {
        return Reason.LINE;
      }
    }
    return null;
  }

  /** Drops sessions until all budgets hold; false where none was broken. */
  private boolean enforceBudgets(long now, List<DisconnectDecision> given) {
    long all = queuedBytes;
    Map<Practice, Long> held = new LinkedHashMap<>();
    for (Peer peer : watched) {
      Practice practice = peer.session.practice;
      held.putIfAbsent(practice, practice.queuedBytes);
      if (peer.session.disconnected) {
        all -= peer.queuedBytes;
        held.merge(practice, -peer.queuedBytes, Long::sum);
      }
    }
    if (all <= limits.budgetBytes() && held.entrySet().stream().noneMatch(this::isOver)) {
      return false;
    }
    // Those that were given up before go first, the worst offenders next.
    List<Peer> worst = new ArrayList<>(watched);
    worst.removeIf(peer -> !peer.isBehind() || peer.session.disconnected);
    worst.sort(
        Comparator.comparing((Peer peer) -> !peer.session.disconnecting)
            .thenComparing(peer -> -peer.severity(now))
            .thenComparing(peer -> peer.session.id)
            .thenComparing(peer -> peer.side));
    for (Map.Entry<Practice, Long> practice : held.entrySet()) {
      for (int i = 0; i < worst.size() && isOver(practice); i++) {
        if (worst.get(i).session.practice == practice.getKey()) {
          long freed = disconnectImmediately(worst.get(i), Reason.PRACTICE_BUDGET, now, given);
          practice.setValue(practice.getValue() - freed);
          all -= freed;
        }
      }
    }
    for (int i = 0; i < worst.size() && all > limits.budgetBytes(); i++) {
      all -= disconnectImmediately(worst.get(i), Reason.BUDGET, now, given);
    }
    return true;
  }

  private boolean isOver(Map.Entry<Practice, Long> held) {
    return held.getValue() > limits.budgetOf(held.getKey().name);
  }

  /** Gives a session up at once, and returns how many bytes that frees. */
  private long disconnectImmediately(
      Peer peer, Reason reason, long now, List<DisconnectDecision> given) {
    SessionPeers session = peer.session;
    if (session.disconnected) {
      return 0;
    }
    session.disconnected = true;
    session.disconnecting = true;
    given.add(verdict(peer, reason, true, now));
    return session.queuedBytes(Side.CLIENT) + session.queuedBytes(Side.TARGET);
  }

  private static DisconnectDecision verdict(Peer peer, Reason reason, boolean atOnce, long now) {
    return new DisconnectDecision(
        peer.session, peer.side, reason, atOnce, peer.queuedBytes, peer.ageMicros(now));
  }

  /** Bytes that wait for all peers. */
  public long queuedBytes() {
    return queuedBytes;
  }

  /** Sessions that are open. */
  public int sessions() {
    return sessions;
  }

  /** How many peers have been given up for this reason so far. */
  public long disconnects(Reason reason) {
    return disconnects.getOrDefault(reason, 0L);
  }
}
