package brassbank.relay;

import static brassbank.log.Field.flow;
import static brassbank.log.Field.value;

import brassbank.log.Log;
import brassbank.net.Link;
import brassbank.relay.limits.DisconnectDecision;
import brassbank.relay.limits.PeerLimits;
import brassbank.relay.limits.SessionPeers;
import brassbank.relay.limits.Side;
import brassbank.relay.limits.SideLimits;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * An established session, which relays bytes between the link of a client and that of its target.
 * Bytes are written from the buffer into which they were read. What a peer does not accept at once
 * is queued, and while too much is queued for one side, the other side is not read. When one side
 * ends, the other is ended in the same way: a reset resets both links; after an end of stream the
 * last lines of the other side are still relayed while the links linger.
 *
 * <p>The client receives whole lines of its host: an unfinished line is held back until it ends,
 * unless it is longer than the protocol allows. So the final line can always follow a whole line.
 */
public final class RelayedSession implements Link.StreamHandler, HostLineParser.Listener {
  private static final Log LOG = Log.of("relay");

  /**
   * How long a client may take to read up to the end of its session: at 64 KiB/s, the 4 MiB that
   * the kernel queues for it at most.
   */
  private static final long CLIENT_READ_LIMIT_MICROS = 60_000_000;

  private final Relay relay;
  private final PeerLimits limits;
  private final SessionPeers peers;
  private final Link client;
  private final Link target;
  private final SessionObserver observer;
  private final ClientLineTracker clientLines = new ClientLineTracker();
  private final HostLineParser hostLines;
  private final UnfinishedLine unfinishedLine;
  private int released;

  /** The target has not answered the client's last line yet. */
  private boolean requestPending;

  /**
   * A read of the target is being parsed, so that the parser does not know yet whether its bytes
   * end within a line.
   */
  private boolean parsingHostLines;

  /** The line to send to the client before closing; null until the session is to be closed. */
  private String finalLine;

  private Runnable onClosed;

  /** The session ends for a slow peer, by the time limit that the configuration has for that. */
  private boolean isPeerTooSlow;

  /** The target does not read: its link is reset instead of waiting for it. */
  private boolean targetUnresponsive;

  /** One side has ended or is being disconnected: the observer is not notified any more. */
  private boolean ending;

  /** No bytes are relayed any more. */
  private boolean closed;

  RelayedSession(
      Relay relay, SessionPeers peers, Link client, Link target, SessionObserver observer) {
    this.relay = relay;
    this.limits = relay.limits();
    this.hostLines = new HostLineParser(relay.lineFeeds(), this);
    this.unfinishedLine = new UnfinishedLine(relay.net().buffers());
    this.peers = peers;
    this.client = client;
    this.target = target;
    this.observer = observer;
  }

  SessionPeers peers() {
    return peers;
  }

  /**
   * Starts relaying; the first bytes relayed are those that the links had received and not read.
   */
  public void start() {
    applyKernelBuffer(client, limits.limits().client());
    applyKernelBuffer(target, limits.limits().target());
    client.allowTimeToRead(CLIENT_READ_LIMIT_MICROS);
    ByteBuffer fromTarget = target.startStreaming(this).order(ByteOrder.LITTLE_ENDIAN);
    ByteBuffer fromClient = client.startStreaming(this).order(ByteOrder.LITTLE_ENDIAN);
    received(target, fromTarget);
    received(client, fromClient);
    // If the client has just reset the connection, sending it the first line fails the link before
    // this session receives the link's events, and the failure is not reported again.
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
    return relay.readQuotaBytes();
  }

  @Override
  public void received(Link from, ByteBuffer bytes) {
    if (closed || !bytes.hasRemaining()) {
      return;
    }
    if (from == client) {
      receivedFromClient(bytes);
    } else {
      receivedFromTarget(bytes);
    }
  }

  private void receivedFromClient(ByteBuffer bytes) {
    int start = bytes.position();
    int end = bytes.limit();
    target.send(bytes);
    if (closed) {
      return;
    }
    if (relay.isFull(peers, Side.TARGET) && client.pause()) {
      limits.readPaused(peers, Side.CLIENT);
    }
    boolean wasInLine = clientLines.inLine();
    boolean lineEnded = clientLines.follow(bytes, start, end);
    updateLineLimit(Side.CLIENT, wasInLine, lineEnded, clientLines.inLine());
    if (lineEnded && !requestPending && !ending) {
      requestPending = true;
      observer.requestRelayed();
    }
  }

  private void receivedFromTarget(ByteBuffer bytes) {
    int start = bytes.position();
    if (finalLine != null) {
      limitToCurrentLine(bytes);
    }
    int end = bytes.limit();
    relayWholeLines(bytes);
    if (closed) {
      return;
    }
    boolean wasInLine = hostLines.inLine();
    boolean lineEnded = parseHostLines(bytes, start, end);
    if (closed) {
      return;
    }
    updateLineLimit(Side.TARGET, wasInLine, lineEnded, hostLines.inLine());
    if (finalLine == null) {
      // After the read has been parsed, since the report may have this session closed.
      pauseTargetIfClientIsFull();
    } else if (!hostLines.inLine() || hostLines.isOverlong()) {
      finish();
    }
  }

  /** Drops the bytes behind the end of the current line, which the final line follows. */
  private void limitToCurrentLine(ByteBuffer bytes) {
    LineFeedScanner lineFeeds = relay.lineFeeds();
    lineFeeds.reset(bytes, bytes.position(), bytes.limit());
    int feed = lineFeeds.next(bytes.position());
    if (feed >= 0) {
      bytes.limit(feed + 1);
    }
  }

  /** Sends the whole lines to the client and holds back the line that has only begun. */
  private void relayWholeLines(ByteBuffer bytes) {
    int start = bytes.position();
    int end = bytes.limit();
    int feed = LineFeedScanner.last(bytes, start, end);
    long unfinishedBytes =
        feed < 0 ? (long) hostLines.unfinishedBytes() + end - start : end - feed - 1;
    int heldStart = feed < 0 ? start : feed + 1;
    if (unfinishedBytes > Link.MAX_LINE_BYTES) {
      // The line breaks the protocol. Its length is not bounded, so that it is not held back.
      heldStart = end;
    }
    if (heldStart > start) {
      unfinishedLine.prependTo(bytes);
      client.send(bytes.limit(heldStart));
    }
    if (!closed) {
      unfinishedLine.append(bytes.limit(end).position(heldStart));
      relay.checkMemory();
    }
  }

  private void updateLineLimit(Side side, boolean wasInLine, boolean lineEnded, boolean inLine) {
    if (inLine && (lineEnded || !wasInLine)) {
      limits.lineStarted(peers, side, relay.nowMicros());
      relay.scheduleEvaluation();
    } else if (wasInLine && !inLine) {
      limits.lineEnded(peers, side);
    }
  }

  /**
   * Parses the lines and reports them. A report may have this session closed: a final line then
   * waits until the whole read is parsed.
   */
  private boolean parseHostLines(ByteBuffer bytes, int start, int end) {
    parsingHostLines = true;
    try {
      return hostLines.follow(bytes, start, end);
    } finally {
      parsingHostLines = false;
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
    relay.checkMemory();
    if (limits.isOverBudget(peers)) {
      relay.evaluateSoon();
    } else {
      relay.scheduleEvaluation();
    }
  }

  @Override
  public void drained(Link link, int bytes) {
    limits.bytesDrained(peers, side(link), bytes);
    if (closed || link.queuedBytes() > relay.resumeBytes(side(link))) {
      return;
    }
    if (link == client) {
      resumeTarget();
    } else if (client.resume()) {
      limits.readResumed(peers, Side.CLIENT, relay.nowMicros());
    }
  }

  private void pauseTargetIfClientIsFull() {
    if (!relay.isFull(peers, Side.CLIENT) || !target.pause()) {
      return;
    }
    limits.readPaused(peers, Side.TARGET);
    if (!ending) {
      observer.targetReadPaused();
    }
  }

  private void resumeTarget() {
    if (!target.resume()) {
      return;
    }
    limits.readResumed(peers, Side.TARGET, relay.nowMicros());
    if (!ending) {
      observer.targetReadResumed();
    }
  }

  @Override
  public void released(Link link) {
    if (++released == 2) {
      unfinishedLine.clear();
      relay.closed(this);
    } else if (link == target && !link.isBroken()) {
      // The client reads the end of the session behind what is still queued for it.
      client.shutdownOutput();
    }
  }

  @Override
  public void ended(Link from, boolean reset) {
    if (closed) {
      return;
    }
    if (from == target && !reset) {
      if (finalLine != null) {
        // The line that the final line waits for does not end any more.
        finish();
        return;
      }
      client.send(unfinishedLine.take());
      if (closed) {
        return;
      }
    }
    closed = reset || ending || relay.net().isAtCapacity();
    if (reset) {
      from.reset();
      other(from).reset();
    } else if (closed) {
      // Both sides have ended, or descriptors are short: no further lines are waited for.
      from.close();
      other(from).close();
    } else {
      other(from).shutdownOutput();
    }
    if (!ending) {
      ending = true;
      limits.sessionEnding(peers);
      observer.ended(from == client, reset);
    }
    if (closed) {
      notifyClosed();
    }
  }

  /**
   * Sends a final line to the client, between two lines of the target, and closes both links. The
   * session closes at once; if the target has begun a line, once that ends, or after a time limit
   * without it.
   *
   * @param closedCallback runs once the session is closed, by this call or for another reason
   */
  public void sendFinalLine(String line, Runnable closedCallback) {
    onClosed = closedCallback;
    sendFinalLine(line);
    if (closed) {
      notifyClosed();
    }
  }

  private void notifyClosed() {
    if (onClosed != null) {
      Runnable callback = onClosed;
      onClosed = null;
      callback.run();
    }
  }

  private void sendFinalLine(String line) {
    if (closed || finalLine != null) {
      return;
    }
    finalLine = line;
    limits.sessionEnding(peers);
    if (!parsingHostLines && !hostLines.inLine()) {
      finish();
    } else {
      // Reads the target even if the client's queue is full: the current line has to end.
      resumeTarget();
      relay.loop().schedule(relay.lineEndTimeoutMicros(), this::finish);
    }
  }

  private void finish() {
    if (closed) {
      return;
    }
    closed = true;
    if (hostLines.isOverlong()) {
      // Part of the line has been relayed. A reset keeps the client from taking it for a complete
      // one, or the close for a regular end of the session.
      client.reset();
    } else {
      dropUnfinishedLine();
      client.send(finalLine);
      closeClient();
    }
    if (targetUnresponsive) {
      target.reset();
    } else {
      target.close();
    }
    notifyClosed();
  }

  private void closeClient() {
    if (isPeerTooSlow) {
      client.close(limits.limits().finalLineTimeoutMicros());
    } else {
      client.close();
    }
  }

  private void dropUnfinishedLine() {
    if (unfinishedLine.length() > 0) {
      LOG.info("line-dropped", flow(peers.id()), value("bytes", unfinishedLine.length()));
      unfinishedLine.clear();
    }
  }

  /** Returns whether bytes are queued for the client, or a final line waits for a line's end. */
  boolean hasPendingClientData() {
    return client.queuedBytes() > 0 || (finalLine != null && !closed);
  }

  /** Returns whether the client has yet to read the end of the session and to close its side. */
  boolean awaitsClient() {
    return hasPendingClientData() || client.isClosing();
  }

  /** Closes the session at once by resetting both links. */
  void reset() {
    closed = true;
    client.reset();
    target.reset();
    notifyClosed();
  }

  /**
   * Frees the session's memory and sends the final line behind the line that the client may have
   * received in part. The lines behind that are lost with the session.
   */
  private void freeMemory(String line) {
    finalLine = line;
    limits.bytesDrained(peers, Side.CLIENT, client.discardQueuedLines());
    finish();
  }

  /** Applies the decision to disconnect a slow peer of this session. */
  void disconnect(DisconnectDecision decision) {
    boolean first = !ending && finalLine == null;
    ending = true;
    String line = first ? observer.slowPeerDisconnected(decision.side(), decision.reason()) : null;
    if (decision.immediate()) {
      closed = true;
      client.reset();
      target.reset();
      notifyClosed();
    } else if (first) {
      isPeerTooSlow = true;
      targetUnresponsive = decision.side() == Side.TARGET;
      if (decision.reason() == DisconnectDecision.Reason.MEMORY) {
        freeMemory(line);
      } else {
        sendFinalLine(line);
      }
    }
  }
}
