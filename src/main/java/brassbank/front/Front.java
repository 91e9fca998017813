package brassbank.front;

import brassbank.log.Log;
import brassbank.net.Link;
import brassbank.net.Loop;
import brassbank.net.Net;
import brassbank.target.Client;
import brassbank.target.Dispatcher;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The platform's client protocol: {@code PING}, {@code OPEN}, and the answers to them. Another
 * front would hand its own flows to the same dispatcher.
 */
public final class Front {
  private static final Log LOG = Log.of("front");

  /** A connection with no first line for this long is closed. */
  private static final long FIRST_LINE_MICROS = 10_000_000;

  /** While descriptors run short, no connection may stay silent for longer than this. */
  private static final long PATIENCE_NANOS = 1_000_000_000;

  private static final long CLEAR_MICROS = 100_000;
  private static final long READY_MICROS = 50_000;

  private final Net net;
  private final Dispatcher dispatcher;

  /** Connections that have sent no first line yet, the oldest first. */
  private final Set<Session> silent = new LinkedHashSet<>();

  private boolean clearing;
  private long flows;

  public Front(Net net, Dispatcher dispatcher) {
    this.net = net;
    this.dispatcher = dispatcher;
  }

  /** Takes a client's new connection. */
  public void accept(Link link) {
    Session session = new Session(link);
    link.owner(session);
    session.awaitLine();
    if (net.full() && !clearing) {
      clear();
    }
  }

  /**
   * Guards the descriptors against clients that connect and say nothing: while descriptors run
   * short, whoever has been silent for too long makes room for those who wait in the backlog.
   */
  private void clear() {
    clearing = net.full();
    if (clearing) {
      long now = System.nanoTime();
      for (Session session : List.copyOf(silent)) {
        if (now - session.silentSince > PATIENCE_NANOS) {
          session.spoke();
          session.link.drop("ERR no first line");
        }
      }
      net.loop().after(CLEAR_MICROS, this::clear);
    }
  }

  /** One client's connection, until it stands or is answered. */
  private final class Session implements Link.Owner, Client {
    private final Link link;
    private Loop.Timer firstLine;
    private long silentSince;
    private OpenLine open;
    private long flow;
    private boolean answered;

    Session(Link link) {
      this.link = link;
    }

    void awaitLine() {
      silent.add(this);
      silentSince = System.nanoTime();
      firstLine = net.loop().after(FIRST_LINE_MICROS, () -> reject("no first line"));
    }

    @Override
    public void received(Link from) {
      while (open == null && link.isOpen()) {
        String line = link.buffer().nextLine();
        if (link.buffer().overlong()) {
          reject("the line is too long");
        } else if (line == null) {
          return;
        } else {
          first(line);
        }
      }
      // A client waits for its answer: one that goes on sending must not fill the memory.
      if (open != null && !answered && link.buffer().held() > Link.LONGEST_LINE) {
        link.pause();
      }
    }

    /** PONG brings clients: it waits until a target is known. */
    private void admit() {
      if (dispatcher.ready()) {
        link.send("PONG");
      } else if (link.isOpen()) {
        net.loop().after(READY_MICROS, this::admit);
      }
    }

    private void spoke() {
      silent.remove(this);
      firstLine.cancel();
    }

    private void first(String line) {
      spoke();
      if (line.equals("PING")) {
        admit();
        awaitLine();
        return;
      }
      try {
        open = OpenLine.parse(line);
      } catch (IllegalArgumentException e) {
        reject(e.getMessage());
        return;
      }
      flow = ++flows;
      dispatcher.submit(open.flow(flow, open.deadlineMillis() * 1000), this);
    }

    private void reject(String reason) {
      spoke();
      LOG.info("a client was turned away: " + reason);
      link.send("ERR " + reason.replaceAll("[^ -~]", "?"));
      link.close();
    }

    @Override
    public void ended(Link from, boolean reset) {
      spoke();
      link.close();
      if (open != null && !answered) {
        answered = true;
        dispatcher.clientLeft(flow);
      }
    }

    @Override
    public String opening(long remainingMillis) {
      return open.withDeadline(remainingMillis);
    }

    @Override
    public Link up(String line) {
      answered = true;
      link.resume();
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
      answered = true;
      link.send(line);
      link.close();
    }

    @Override
    public String farewell() {
      return "MOVE";
    }
  }
}
