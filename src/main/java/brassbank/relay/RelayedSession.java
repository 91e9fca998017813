package brassbank.relay;

import brassbank.net.Link;
import brassbank.relay.limits.DisconnectDecision;
import brassbank.relay.limits.PeerLimits;
import brassbank.relay.limits.SessionPeers;
import brassbank.relay.limits.Side;
import brassbank.relay.limits.SideLimits;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * A standing session: a client's link and its target's. All bytes pass both ways as they come, out
 * of the buffer that they were read into; what a peer does not take at once waits, and while too
 * much does the other side is not read. What one side ends is ended on the other the same way: a
 * reset resets both, and where one side ends its sending, the last lines of the other still pass
 * while the links linger.
 */
public final class RelayedSession implements Link.StreamHandler, HostLineParser.Listener {
  /** A farewell waits this long for the end of a line that is on its way. */
  private static final long LINE_END_TIMEOUT_MICROS = 500_000;

  /** After a farewell a link lives this long at most, where no slow peer was given up. */
  private static final long LINGER_MICROS = 1_000_000;

  private final Relay relay;
  private final PeerLimits limits;
  private final SessionPeers peers;
  private final Link client;
  private final Link target;
  private final SessionObserver observer;
  private final ClientLineTracker clientLines = new ClientLineTracker();
  private final HostLineParser hostLines;
  private int released;

  /** A line of the client's is unanswered. */
  private boolean requestPending;

  private String sendFinalLine;
  private Runnable onClosed;
  private long finalLineLimitMicros = LINGER_MICROS;

  /** The target does not read any longer: it is not waited for. */
  private boolean targetUnresponsive;

  /** Nothing is told any longer: one side has ended its sending, or was given up. */
  private boolean ending;

  /** Nothing passes any longer. */
  private boolean closed;

  RelayedSession(
      Relay relay, SessionPeers peers, Link client, Link target, SessionObserver watcher) {
    this.relay = relay;
    this.limits = relay.limits();
    this.hostLines = new HostLineParser(relay.lineFeeds(), this);
    this.peers = peers;
    this.client = client;
    this.target = target;
    this.observer = watcher;
  }

  SessionPeers peers() {
    return peers;
  }

  /** Takes both links over, with what has come on them after the lines taken so far. */
  public void start() {
    applyKernelBuffer(client, limits.limits().client());
    applyKernelBuffer(target, limits.limits().target());
    ByteBuffer fromTarget = target.startStreaming(this).order(ByteOrder.LITTLE_ENDIAN);
    ByteBuffer fromClient = client.startStreaming(this).order(ByteOrder.LITTLE_ENDIAN);
    received(target, fromTarget);
    received(client, fromClient);
    // The first line to a client that has just been reset breaks its link before it is ours.
    if (!client.isOpen()) {
      ended(client, true);
    }
  }

  private static void applyKernelBuffer(Link link, SideLimits side) {
    if (side.kernelBufferBytes() > 0) {
      link.sendBuffer(side.kernelBufferBytes());
    }
  }

  private Link other(Link link) {
    return link == client ? target : client;
  }

  private Side side(Link link) {
    return link == client ? Side.CLIENT : Side.TARGET;
  }

  @Override
  public int readQuota(Link link) {
    return limits.limits().readQuotaBytes();
  }

  @Override
  public void received(Link from, ByteBuffer bytes) {
    if (closed || !bytes.hasRemaining()) {
      return;
    }
    int start = bytes.position();
    int end = bytes.limit();
    boolean toClient = from == target;
    if (toClient && sendFinalLine != null) {
      // The line that the farewell waits for ends here; what is behind it is left out.
      relay.lineFeeds().reset(bytes, start, end);
      int feed = relay.lineFeeds().next(start);
      end = feed < 0 ? end : feed + 1;
      bytes.limit(end);
    }
    Link to = other(from);
    to.send(bytes);
    if (closed) {
      return;
    }
    if (limits.isFull(peers, side(to)) && !(toClient && sendFinalLine != null)) {
      from.pause();
    }
    trackLines(from, bytes, start, end);
    if (!closed
        && toClient
        && sendFinalLine != null
        && (!hostLines.inLine() || hostLines.isOverlong())) {
      finish();
    }
  }

  /** Looks at lines where they lie, once they have gone: the peer waits for nothing of it. */
  private void trackLines(Link from, ByteBuffer bytes, int start, int end) {
    boolean before;
    boolean lineEnded;
    boolean inLine;
    if (from == client) {
      before = clientLines.inLine();
      lineEnded = clientLines.follow(bytes, start, end);
      inLine = clientLines.inLine();
      if (lineEnded && !requestPending && !ending) {
        requestPending = true;
        observer.requestRelayed();
      }
    } else {
      before = hostLines.inLine();
      lineEnded = hostLines.follow(bytes, start, end);
      inLine = hostLines.inLine();
    }
    if (inLine && (lineEnded || !before)) {
      limits.lineStarted(peers, side(from), relay.nowMicros());
      relay.scheduleEvaluation();
    } else if (before && !inLine) {
      limits.lineEnded(peers, side(from));
    }
  }

  @Override
  public void responseReceived() {
    if (requestPending && !ending) {
      requestPending = false;
      observer.responseRelayed();
    }
  }

  @Override
  public void loadReported(String text) {
    if (!ending) {
      observer.loadReported(text);
    }
  }

  @Override
  public void byeReceived() {
    if (!ending) {
      observer.byeReceived();
    }
  }

  @Override
  public void moveReceived() {
    if (!ending) {
      observer.moveReceived();
    }
  }

  @Override
  public void queued(Link link, int bytes) {
    limits.bytesQueued(peers, side(link), bytes, relay.nowMicros());
    if (limits.isOverBudget(peers)) {
      relay.evaluateSoon();
    } else {
      relay.scheduleEvaluation();
    }
  }

  @Override
  public void drained(Link link, int bytes) {
    limits.bytesDrained(peers, side(link), bytes);
    SideLimits side = limits.limits().of(side(link));
    // Not at the first free byte: then each turn would read and write a handful.
    if (!closed && link.queuedBytes() <= side.maxQueuedBytes() / 2) {
      other(link).resume();
    }
  }

  @Override
  public void released(Link link) {
    if (++released == 2) {
      relay.closed(this);
    }
  }

  @Override
  public void ended(Link from, boolean reset) {
    if (closed) {
      return;
    }
    closed = reset || ending || relay.net().isAtCapacity();
    if (reset) {
      from.reset();
      other(from).reset();
    } else if (closed) {
      // Both sides have ended, or descriptors run short: then nobody's last lines are waited for.
      from.close();
      other(from).close();
    } else {
      other(from).shutdownOutput();
    }
    if (!ending) {
      ending = true;
      observer.ended(from == client, reset);
    }
    if (closed) {
      notifyClosed();
    }
  }

  /**
   * Sends the client a last line, between two lines, and ends both sides.
   *
   * @param ended runs once both are ended, by this or otherwise: at once, or after a wait for the
   *     end of a line that is on its way
   */
  public void sendFinalLine(String line, Runnable ended) {
    onClosed = ended;
    sendFinalLine(line);
    if (closed) {
      notifyClosed();
    }
  }

  private void notifyClosed() {
    if (onClosed != null) {
      Runnable told = onClosed;
      onClosed = null;
      told.run();
    }
  }

  private void sendFinalLine(String line) {
    if (closed || sendFinalLine != null) {
      return;
    }
    sendFinalLine = line;
    if (!hostLines.inLine()) {
      finish();
    } else {
      // Whatever waits for the client, the end of this line must come.
      target.resume();
      relay.loop().schedule(LINE_END_TIMEOUT_MICROS, this::finish);
    }
  }

  private void finish() {
    if (closed) {
      return;
    }
    closed = true;
    if (hostLines.inLine()) {
      // Half a line must not look like a whole one, nor an end in its midst like a proper one.
      client.reset();
    } else {
      client.send(sendFinalLine);
      client.close(finalLineLimitMicros);
    }
    if (targetUnresponsive) {
      target.reset();
    } else {
      target.close();
    }
    notifyClosed();
  }

  /** Whether the client is owed bytes that wait, or a farewell that waits for a line. */
  boolean hasPendingClientData() {
    return client.queuedBytes() > 0 || (sendFinalLine != null && !closed);
  }

  void reset() {
    closed = true;
    client.reset();
    target.reset();
    notifyClosed();
  }

  /** Carries out that a peer of this session is given up. */
  void disconnect(DisconnectDecision verdict) {
    boolean first = !ending && sendFinalLine == null;
    ending = true;
    String line = first ? observer.slowPeerDisconnected(verdict.side(), verdict.reason()) : null;
    if (verdict.immediate()) {
      closed = true;
      client.reset();
      target.reset();
      notifyClosed();
    } else if (first) {
      finalLineLimitMicros = limits.limits().farewellMicros();
      targetUnresponsive = verdict.side() == Side.TARGET;
      sendFinalLine(line);
    }
  }
}
