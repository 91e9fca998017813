package brassbank.front;

import static brassbank.log.Field.value;

import brassbank.forward.Client;
import brassbank.forward.Dispatcher;
import brassbank.log.Log;
import brassbank.net.EventLoop;
import brassbank.net.Link;
import brassbank.net.Net;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Serves the platform's client protocol: {@code PING}, {@code OPEN} and the answers to them. A
 * front end for another protocol would submit its flows to the same dispatcher. Runs on the event
 * loop.
 */
public final class ClientFrontend {
  private static final Log LOG = Log.of("front");

  /**
   * A client that has not sent a complete first line within this time is rejected, even if part of
   * the line has come: a misbehaving client must receive an error within 3 s of connecting.
   */
  private static final long FIRST_LINE_TIMEOUT_MICROS = 2_000_000;

  /**
   * How long a connection may stay idle after PING. The upstream load balancer may keep the
   * connection of its PING open; the protocol has no other idle connections.
   */
  private static final long GREETED_TIMEOUT_MICROS = 10_000_000;

  /** The maximum number of connections that stay open after PING. */
  private static final int MAX_GREETED = 8;

  /** How long a connection may send nothing while there are too many silent connections. */
  private static final long MAX_SILENCE_MICROS = 50_000;

  /**
   * How long a connection must have sent nothing before it is closed to free a descriptor. A normal
   * client sends its line as soon as it has connected.
   */
  private static final long EVICTABLE_SILENCE_MICROS = 10_000;

  /** How often a PING that waits for its PONG is checked again. */
  private static final long ADMISSION_RECHECK_MICROS = 50_000;

  /**
   * How long a connection may have waited in the backlog of an inherited socket while no process
   * accepted connections, during a start or during a handover. The client's timeout has been
   * running for that time.
   */
  private static final long STARTUP_QUEUE_DELAY_MICROS = 1_000_000;

  private static final long HANDOVER_QUEUE_DELAY_MICROS = 60_000;

  /** How long after opening the listener accepted connections count as backlog. */
  private static final long QUEUE_DRAIN_MICROS = 100_000;

  private final Net net;
  private final Dispatcher dispatcher;
  private long queueDrainedAtNanos = Long.MIN_VALUE;

  /** How long connections from the backlog are assumed to have waited. */
  private long queueDelayMicros;

  /** Connections that have not sent a first line yet, the oldest first. */
  private final Set<Session> silentSessions = new LinkedHashSet<>();

  /** Connections that have sent PING and may stay open, the oldest first. */
  private final Set<Session> greetedSessions = new LinkedHashSet<>();

  /** The ids of flows that await their answer or whose connection is established. */
  private final Set<String> openFlowIds = new HashSet<>();

  /** The ids of flows that predecessors of this process hold, by process. */
  private final Map<Long, Set<String>> predecessorFlowIds = new HashMap<>();

  private boolean isEvictionScheduled;
  private long flowCount;

  public ClientFrontend(Net net, Dispatcher dispatcher) {
    this.net = net;
    this.dispatcher = dispatcher;
  }

  /** Returns the ids of flows that await their answer or whose connection is established. */
  public Set<String> openFlowIds() {
    return new LinkedHashSet<>(openFlowIds);
  }

  /**
   * Sets the ids of the flows that a predecessor of this process holds now.
   *
   * @param flowIds the ids, empty once the predecessor has stopped
   */
  public void setPredecessorFlowIds(long processId, Set<String> flowIds) {
    if (flowIds.isEmpty()) {
      predecessorFlowIds.remove(processId);
    } else {
      predecessorFlowIds.put(processId, flowIds);
    }
  }

  /**
   * Called when this process begins to accept connections, first those in the listener's backlog.
   *
   * @param isFirstProcess whether no other process has accepted connections before
   */
  public void listenerOpened(boolean isFirstProcess) {
    queueDrainedAtNanos = net.clock().nanos() + TimeUnit.MICROSECONDS.toNanos(QUEUE_DRAIN_MICROS);
    queueDelayMicros = isFirstProcess ? STARTUP_QUEUE_DELAY_MICROS : HANDOVER_QUEUE_DELAY_MICROS;
  }

  /** Accepts a client's new connection. */
  public void accept(Link link) {
    Session session = new Session(link);
    link.handler(session);
    session.awaitLine();
    if (!isEvictionScheduled) {
      evictSilent();
    }
  }

  /**
   * Closes the oldest silent connections while there are too many. This protects the descriptors
   * against hundreds of clients that connect and send nothing; normal clients send their line at
   * once.
   */
  private void evictSilent() {
    long now = net.clock().nanos();
    isEvictionScheduled = false;
    while (silentSessions.size() > net.maxSilentClients() && !isEvictionScheduled) {
      Session oldest = silentSessions.iterator().next();
      if (now - oldest.silentSinceNanos >= TimeUnit.MICROSECONDS.toNanos(MAX_SILENCE_MICROS)) {
        oldest.stopAwaitingLine();
        oldest.link.closeNow("BUSY");
      } else {
        isEvictionScheduled = true;
        net.loop().schedule(MAX_SILENCE_MICROS / 2, this::evictSilent);
      }
    }
  }

  /**
   * Closes the oldest silent connections until there is a descriptor for a new flow's target.
   * {@link #evictSilent} alone does not suffice: closed connections are replaced from the backlog
   * at once, and normal clients were refused while silent ones held the descriptors.
   */
  private void freeDescriptors() {
    long now = net.clock().nanos();
    while (net.isAtCapacity() && !silentSessions.isEmpty()) {
      Session oldest = silentSessions.iterator().next();
      if (now - oldest.silentSinceNanos < TimeUnit.MICROSECONDS.toNanos(EVICTABLE_SILENCE_MICROS)) {
        return;
      }
      oldest.stopAwaitingLine();
      oldest.link.closeNow("BUSY");
    }
  }

  /**
   * Closes the connections without a flow and without a line that has begun, before the program
   * exits. Bytes that have already arrived are read first, so that their line is answered like any
   * other; a later line is not forwarded.
   */
  public void closeIdleConnections() {
    for (Session session : sessionsAwaitingLine()) {
      session.link.readNow();
      if (session.hasNoFlow() && !session.hasBegunLine()) {
        session.close();
      }
    }
  }

  /** Returns whether a client has begun a line and has neither ended it nor got an answer. */
  public boolean hasBegunLines() {
    return sessionsAwaitingLine().stream().anyMatch(Session::hasBegunLine);
  }

  /** Answers the lines that have begun and are not complete, since the program is about to exit. */
  public void rejectBegunLines() {
    sessionsAwaitingLine().stream()
        .filter(Session::hasBegunLine)
        .forEach(session -> session.reject("the line is not complete and the proxy stops"));
  }

  private List<Session> sessionsAwaitingLine() {
    List<Session> sessions = new ArrayList<>(silentSessions);
    sessions.addAll(greetedSessions);
    return sessions;
  }

  /** The phase of a client's connection; the only step back is from GREETED to AWAITING_PONG. */
  private enum Phase {
    /** The client has not sent a complete line. */
    AWAITING_LINE,
    /** The client has sent PING and has no answer yet. */
    AWAITING_PONG,
    /** The PING has been answered, and the client may send another line. */
    GREETED,
    /** The client's flow has been submitted and has no answer yet. */
    SUBMITTED,
    /** The flow is answered or established, or the connection is closed. */
    FINISHED
  }

  /** One client's connection, until its flow is established or answered. */
  private final class Session implements Link.LineHandler, Client {
    private final Link link;
    private Phase phase = Phase.AWAITING_LINE;

    /** How long the connection may have waited before it was accepted. */
    private final long queuedMicros;

    private EventLoop.Timer lineTimeout;
    private long silentSinceNanos;

    /** Null once the flow is established: of a session that lasts for hours only the id is kept. */
    private OpenRequest request;

    private String flowId;
    private long flowNumber;

    Session(Link link) {
      this.link = link;
      queuedMicros = net.clock().nanos() < queueDrainedAtNanos ? queueDelayMicros : 0;
    }

    private void awaitLine() {
      silentSessions.add(this);
      silentSinceNanos = net.clock().nanos();
      lineTimeout = net.loop().schedule(FIRST_LINE_TIMEOUT_MICROS, () -> reject("no first line"));
    }

    private boolean hasNoFlow() {
      return phase == Phase.AWAITING_LINE || phase == Phase.AWAITING_PONG || phase == Phase.GREETED;
    }

    /** Returns whether bytes of the next line have come, but not its end. */
    private boolean hasBegunLine() {
      return hasNoFlow() && link.buffer().unreadBytes() > 0;
    }

    /** Closes a connection that has no flow. */
    private void close() {
      stopAwaitingLine();
      phase = Phase.FINISHED;
      link.close();
    }

    /** Stops the timeout for the next line, for a silent as well as for a greeted connection. */
    private void stopAwaitingLine() {
      silentSessions.remove(this);
      greetedSessions.remove(this);
      if (lineTimeout != null) {
        lineTimeout.cancel();
      }
    }

    @Override
    public void received(Link from) {
      if (phase == Phase.SUBMITTED || phase == Phase.AWAITING_PONG) {
        reject("more than one line before the answer");
        return;
      }
      String line = link.buffer().nextLine();
      if (link.buffer().hasOverlongLine()) {
        reject("the line is too long");
      } else if (line != null) {
        handleLine(line);
      }
    }

    /** Handles a line. A client must send one line and wait; further bytes make it invalid. */
    private void handleLine(String line) {
      stopAwaitingLine();
      if (link.buffer().unreadBytes() > 0) {
        reject("more than one line before the answer");
      } else if (line.equals("PING")) {
        handlePing();
      } else {
        try {
          submit(OpenRequest.parse(line));
        } catch (IllegalArgumentException e) {
          reject(e.getMessage());
        }
      }
    }

    private void handlePing() {
      if (greetedSessions.size() >= MAX_GREETED) {
        greetedSessions.iterator().next().reject("too many connections wait after PING");
      }
      greetedSessions.add(this);
      lineTimeout = net.loop().schedule(GREETED_TIMEOUT_MICROS, () -> reject("no line after PING"));
      phase = Phase.AWAITING_PONG;
      answerPing();
    }

    /**
     * Answers a PING. Since PONG attracts clients, it is delayed until they can be served, and the
     * answer is BUSY while the proxy moves its clients away.
     */
    private void answerPing() {
      if (phase != Phase.AWAITING_PONG) {
        return;
      }
      if (dispatcher.admitsClients()) {
        phase = Phase.GREETED;
        link.send("PONG");
        if (!net.isAcceptingClients() && dispatcher.isLeaving()) {
          // The next PING must come over a new connection, which another process accepts, since
          // this process will exit.
          close();
        }
      } else if (dispatcher.isLeaving()) {
        phase = Phase.GREETED;
        link.send("BUSY");
      } else {
        net.loop().schedule(ADMISSION_RECHECK_MICROS, this::answerPing);
      }
    }

    /** Submits a flow. Its id must be unique: a target would confuse two flows with the same id. */
    private void submit(OpenRequest line) {
      if (predecessorFlowIds.values().stream().anyMatch(ids -> ids.contains(line.id()))
          || !openFlowIds.add(line.id())) {
        throw new IllegalArgumentException("the id is another open flow's");
      }
      phase = Phase.SUBMITTED;
      request = line;
      flowId = line.id();
      flowNumber = ++flowCount;
      freeDescriptors();
      dispatcher.submit(
          request.toFlow(flowNumber, request.timeoutMillis() * 1000 - queuedMicros), this);
    }

    /** Frees the id of the flow. All ids are freed by this method. */
    @Override
    public void flowEnded() {
      if (flowId != null) {
        openFlowIds.remove(flowId);
      }
    }

    private void reject(String reason) {
      stopAwaitingLine();
      LOG.info("client-rejected", value("reason", reason));
      withdrawFlow();
      link.reject("ERR " + reason.replaceAll("[^ -~]", "?"));
    }

    /** Withdraws the flow if it has no answer yet. */
    private void withdrawFlow() {
      boolean isUnanswered = phase == Phase.SUBMITTED;
      phase = Phase.FINISHED;
      if (isUnanswered) {
        flowEnded();
        dispatcher.clientDisconnected(flowNumber);
      }
    }

    @Override
    public void ended(Link from, boolean reset) {
      stopAwaitingLine();
      link.close();
      withdrawFlow();
    }

    @Override
    public String openingLine(long remainingMillis) {
      return request.toLine(remainingMillis);
    }

    @Override
    public Link establish(String line) {
      phase = Phase.FINISHED;
      request = null;
      lineTimeout = null;
      link.send(line);
      return link;
    }

    @Override
    public void refuse(long retryMillis) {
      answer(retryMillis > 0 ? "BUSY " + retryMillis : "BUSY");
    }

    @Override
    public void fail() {
      answer("ERR");
    }

    private void answer(String line) {
      phase = Phase.FINISHED;
      flowEnded();
      link.reject(line);
    }

    @Override
    public String farewellLine() {
      return "MOVE";
    }
  }
}
