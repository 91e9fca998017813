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
 * The platform's client protocol: {@code PING}, {@code OPEN}, and the answers to them. Another
 * front would hand its own flows to the same dispatcher.
 */
public final class ClientFrontend {
  private static final Log LOG = Log.of("front");

  /**
   * Whoever has not sent a whole first line by then is turned away, however much of it has come: a
   * bad client is owed an error within 3 s of connecting.
   */
  private static final long FIRST_LINE_MICROS = 2_000_000;

  /** The front may keep the connection of its PING; no other idle one is known to the protocol. */
  private static final long GREETED_MICROS = 10_000_000;

  private static final int MOST_GREETED = 8;

  /** Where too many say nothing, no connection may stay silent for longer than this. */
  private static final long PATIENCE_MICROS = 50_000;

  /**
   * A usual client's line comes with its connection: one that is this old makes room for others.
   */
  private static final long HESITATION_MICROS = 10_000;

  private static final long READY_MICROS = 50_000;

  /**
   * What waits in an inherited socket's queue when it is opened may have waited for a whole start,
   * or for a hand-over: its client's time runs since then.
   */
  private static final long START_MICROS = 1_000_000;

  private static final long HANDOVER_MICROS = 60_000;

  /** So long after that the queue is taken to be the old one. */
  private static final long QUEUE_MICROS = 100_000;

  private final Net net;
  private final Dispatcher dispatcher;
  private long queuedUntil = Long.MIN_VALUE;
  private long queuedFor;

  /** Connections that have sent no first line yet, the oldest first. */
  private final Set<Session> silent = new LinkedHashSet<>();

  /** Those that have sent PING and may wait, the oldest first. */
  private final Set<Session> greeted = new LinkedHashSet<>();

  /** The ids of flows that wait for their answer or whose connection stands. */
  private final Set<String> openFlowIds = new HashSet<>();

  /** Those of flows that a predecessor of this process holds, by its number. */
  private final Map<Long, Set<String>> setPredecessorFlowIds = new HashMap<>();

  private boolean clearing;
  private long flows;

  public ClientFrontend(Net net, Dispatcher dispatcher) {
    this.net = net;
    this.dispatcher = dispatcher;
  }

  /** The ids of flows that wait for their answer or whose connection stands. */
  public Set<String> openFlowIds() {
    return new LinkedHashSet<>(openFlowIds);
  }

  /** The ids that a predecessor of this process holds now; none once it is gone. */
  public void setPredecessorFlowIds(long process, Set<String> held) {
    if (held.isEmpty()) {
      setPredecessorFlowIds.remove(process);
    } else {
      setPredecessorFlowIds.put(process, held);
    }
  }

  /**
   * Connections that others have left waiting come from now on.
   *
   * @param first whether no other process took any until now
   */
  public void listenerOpened(boolean first) {
    queuedUntil = net.clock().nanos() + TimeUnit.MICROSECONDS.toNanos(QUEUE_MICROS);
    queuedFor = first ? START_MICROS : HANDOVER_MICROS;
  }

  /** Takes a client's new connection. */
  public void accept(Link link) {
    Session session = new Session(link);
    link.handler(session);
    session.awaitLine();
    if (!clearing) {
      clear();
    }
  }

  /**
   * Guards the descriptors against clients that connect by hundreds and say nothing: a usual client
   * sends its line at once, so that the oldest of those that did not make room for the others.
   */
  private void clear() {
    long now = net.clock().nanos();
    clearing = false;
    while (silent.size() > net.maxSilentClients() && !clearing) {
      Session oldest = silent.iterator().next();
      if (now - oldest.silentSince >= TimeUnit.MICROSECONDS.toNanos(PATIENCE_MICROS)) {
        oldest.spoke();
        oldest.link.closeNow("BUSY");
      } else {
        clearing = true;
        net.loop().schedule(PATIENCE_MICROS / 2, this::clear);
      }
    }
  }

  /**
   * A client that has spoken needs a descriptor for its target: the oldest of those that say
   * nothing make room. Dropped ones are replaced from the backlog at once, so that without this a
   * usual client was refused while silent ones held the room.
   */
  private void makeRoom() {
    long now = net.clock().nanos();
    while (net.isAtCapacity() && !silent.isEmpty()) {
      Session oldest = silent.iterator().next();
      if (now - oldest.silentSince < TimeUnit.MICROSECONDS.toNanos(HESITATION_MICROS)) {
        return;
      }
      oldest.spoke();
      oldest.link.closeNow("BUSY");
    }
  }

  /**
   * The program ends: connections that have no flow are ended once what has come on them is read. A
   * line that comes now is answered like any other; one that comes later is never sent on.
   */
  public void closeIdleConnections() {
    List<Session> resting = new ArrayList<>(silent);
    resting.addAll(greeted);
    for (Session session : resting) {
      session.link.readNow();
      if (session.rests()) {
        session.end();
      }
    }
  }

  /** Where a client's connection is on its way; it goes back from GREETED to ASKED at most. */
  private enum Phase {
    /** It has sent no whole line. */
    SILENT,
    /** It has sent PING, and is owed PONG. */
    ASKED,
    /** It was told, and may send its first line. */
    GREETED,
    /** Its flow waits for an answer. */
    WAITING,
    /** It has its final answer, stands, or is gone. */
    OVER
  }

  /** One client's connection, until it stands or is answered. */
  private final class Session implements Link.LineHandler, Client {
    private final Link link;
    private Phase phase = Phase.SILENT;

    /** How long it may have waited before it was accepted, in microseconds. */
    private final long queued;

    private EventLoop.Timer firstLine;
    private long silentSince;

    /** Until the flow stands: a session that lasts for hours keeps its id only. */
    private OpenLine open;

    private String id;
    private long flow;

    Session(Link link) {
      this.link = link;
      queued = net.clock().nanos() < queuedUntil ? queuedFor : 0;
    }

    private void awaitLine() {
      silent.add(this);
      silentSince = net.clock().nanos();
      firstLine = net.loop().schedule(FIRST_LINE_MICROS, () -> reject("no first line"));
    }

    private boolean rests() {
      return phase == Phase.SILENT || phase == Phase.ASKED || phase == Phase.GREETED;
    }

    /** Ends a connection that has no flow, or none any longer. */
    private void end() {
      spoke();
      phase = Phase.OVER;
      link.close();
    }

    /** The clock of a connection that says nothing ends, whichever it was. */
    private void spoke() {
      silent.remove(this);
      greeted.remove(this);
      if (firstLine != null) {
        firstLine.cancel();
      }
    }

    @Override
    public void received(Link from) {
      if (phase == Phase.WAITING || phase == Phase.ASKED) {
        reject("more than one line before the answer");
        return;
      }
      String line = link.buffer().nextLine();
      if (link.buffer().hasOverlongLine()) {
        reject("the line is too long");
      } else if (line != null) {
        first(line);
      }
    }

    /** A client sends one line and waits: with more behind it, none of them is carried out. */
    private void first(String line) {
      spoke();
      if (link.buffer().unreadBytes() > 0) {
        reject("more than one line before the answer");
      } else if (line.equals("PING")) {
        greet();
      } else {
        try {
          submit(OpenLine.parse(line));
        } catch (IllegalArgumentException e) {
          reject(e.getMessage());
        }
      }
    }

    private void greet() {
      if (greeted.size() >= MOST_GREETED) {
        greeted.iterator().next().reject("too many connections wait after PING");
      }
      greeted.add(this);
      firstLine = net.loop().schedule(GREETED_MICROS, () -> reject("no line after PING"));
      phase = Phase.ASKED;
      admit();
    }

    /** PONG brings clients: it waits until they can be served, and is none while they leave. */
    private void admit() {
      if (phase != Phase.ASKED) {
        return;
      }
      if (dispatcher.admitsClients()) {
        phase = Phase.GREETED;
        link.send("PONG");
        if (!net.isAcceptingClients() && dispatcher.isLeaving()) {
          // It asks again over a new connection, which another process takes: this one will end.
          end();
        }
      } else if (dispatcher.isLeaving()) {
        phase = Phase.GREETED;
        link.send("BUSY");
      } else {
        net.loop().schedule(READY_MICROS, this::admit);
      }
    }

    /** An id is one flow's alone: its target would take a second one for the first. */
    private void submit(OpenLine line) {
      if (setPredecessorFlowIds.values().stream().anyMatch(held -> held.contains(line.id()))
          || !openFlowIds.add(line.id())) {
        throw new IllegalArgumentException("the id is another open flow's");
      }
      phase = Phase.WAITING;
      open = line;
      id = line.id();
      flow = ++flows;
      makeRoom();
      dispatcher.submit(open.flow(flow, open.deadlineMillis() * 1000 - queued), this);
    }

    /** The one place where a flow's id is free again. */
    @Override
    public void flowEnded() {
      if (id != null) {
        openFlowIds.remove(id);
      }
    }

    private void reject(String reason) {
      spoke();
      LOG.info("client-rejected", value("reason", reason));
      leave();
      link.reject("ERR " + reason.replaceAll("[^ -~]", "?"));
    }

    /** Takes back a flow that has no answer yet. */
    private void leave() {
      boolean waited = phase == Phase.WAITING;
      phase = Phase.OVER;
      if (waited) {
        flowEnded();
        dispatcher.clientDisconnected(flow);
      }
    }

    @Override
    public void ended(Link from, boolean reset) {
      spoke();
      link.close();
      leave();
    }

    @Override
    public String openingLine(long remainingMillis) {
      return open.withDeadline(remainingMillis);
    }

    @Override
    public Link establish(String line) {
      phase = Phase.OVER;
      open = null;
      firstLine = null;
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
      phase = Phase.OVER;
      flowEnded();
      link.reject(line);
    }

    @Override
    public String farewellLine() {
      return "MOVE";
    }
  }
}
