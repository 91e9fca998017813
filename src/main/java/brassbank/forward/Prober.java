package brassbank.forward;

import static brassbank.log.Field.target;
import static brassbank.log.Field.value;

import brassbank.decide.Outcome;
import brassbank.decide.Target;
import brassbank.log.Log;
import brassbank.net.EventLoop;
import brassbank.net.Link;
import brassbank.net.Net;
import brassbank.net.Network;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Probes targets for their load. Connections are kept open for a while and reused by later probes.
 * Runs on the event loop.
 */
final class Prober {
  private static final Log LOG = Log.of("probe");

  /**
   * The timeout of a probe. A longer wait would add no information, and a silent machine never
   * answers.
   */
  private static final long TIMEOUT_MICROS = 250_000;

  private static final byte[] STATS_REQUEST = "STATS\r\n".getBytes(StandardCharsets.US_ASCII);

  /** Receives the result of each probe once. */
  interface Listener {
    void probed(Target target, Outcome outcome, long elapsedMicros, List<Double> report);
  }

  private final Net net;
  private long connectMicros;
  private long idleMicros;
  private List<String> reportFields;
  private final Listener listener;

  /** The idle connections by address, the last used one first; no queue is empty. */
  private final Map<InetSocketAddress, Deque<IdleConnection>> idleConnections = new HashMap<>();

  Prober(
      Net net, long connectMicros, long idleMicros, List<String> reportFields, Listener listener) {
    this.net = net;
    this.listener = listener;
    configure(connectMicros, idleMicros, reportFields);
  }

  void configure(long connectMicros, long idleMicros, List<String> reportFields) {
    this.connectMicros = Math.min(connectMicros, TIMEOUT_MICROS);
    // Shorter than the target's own limit, so that no probe meets a connection that is closing.
    this.idleMicros = idleMicros - idleMicros / 5;
    this.reportFields = reportFields;
  }

  void probe(Target target) {
    new Probe(target).start();
  }

  /** One probe of one target. It owns its connection and releases it in {@link #releaseLink}. */
  private final class Probe implements Link.LineHandler, Net.ConnectHandler {
    private final Target target;
    private final long startedAt = net.clock().nanos();
    private EventLoop.Timer timeout;
    private Network.Attempt connectAttempt;
    private Link link;
    private boolean isSent;
    private boolean isFinished;

    /** Whether the connection has carried a probe before; its target may have closed it since. */
    private boolean isReused;

    Probe(Target target) {
      this.target = target;
    }

    void start() {
      timeout = net.loop().schedule(TIMEOUT_MICROS, this::timedOut);
      Deque<IdleConnection> idle = idleConnections.get(target.address());
      if (idle != null) {
        isReused = true;
        connected(idle.peek().take());
      } else {
        connect();
      }
    }

    private void connect() {
      connectAttempt = net.connect(target.address(), connectMicros, this, this);
    }

    private void timedOut() {
      finish(link == null ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT, List.of());
    }

    @Override
    public void connected(Link connected) {
      link = connected;
      link.handler(this);
      link.send(STATS_REQUEST, () -> isSent = true);
    }

    @Override
    public void failed(Throwable cause) {
      finish(Outcome.CONNECT_FAILED, List.of());
    }

    @Override
    public void received(Link from) {
      String line = link.buffer().nextLine();
      if (link.buffer().hasOverlongLine()) {
        rejectAnswer("line too long");
      } else if (line != null) {
        handleAnswer(line);
      }
    }

    private void handleAnswer(String line) {
      if (line.equals("PONG") || line.startsWith("PONG ")) {
        try {
          String text = line.substring("PONG".length()).trim();
          finish(Outcome.SERVED, text.isEmpty() ? List.of() : LoadReport.parse(text, reportFields));
        } catch (IllegalArgumentException e) {
          rejectAnswer(line);
        }
      } else if (line.equals("ERR") || line.startsWith("ERR ")) {
        finish(Outcome.ERROR, List.of());
      } else {
        rejectAnswer(line);
      }
    }

    private void rejectAnswer(String line) {
      LOG.warn("probe-answer-bad", target(target.name()), value("line", line));
      finish(Outcome.ERROR, List.of());
    }

    @Override
    public void ended(Link from, boolean reset) {
      if (isReused && !isFinished) {
        // A target that closes an idle connection just as the probe is sent has not failed.
        // Counted as a failure, this kept new flows and probes away from a sound target.
        isReused = false;
        isSent = false;
        link.close();
        link = null;
        connect();
        return;
      }
      finish(isSent ? Outcome.RESET : Outcome.CONNECT_FAILED, List.of());
    }

    private void finish(Outcome outcome, List<Double> report) {
      if (!isFinished) {
        isFinished = true;
        releaseLink(outcome == Outcome.SERVED);
        long elapsed = TimeUnit.NANOSECONDS.toMicros(net.clock().nanos() - startedAt);
        listener.probed(target, outcome, elapsed, report);
      }
    }

    private void releaseLink(boolean usable) {
      timeout.cancel();
      if (link == null) {
        connectAttempt.cancel();
      } else if (usable
          && link.buffer().unreadBytes() == 0
          && link.isOpen()
          && !net.isAtCapacity()) {
        // A connection with bytes behind the answer is not reused: they would be taken for the
        // answer to the next probe, and each answer for that to the probe after it.
        new IdleConnection(target.address(), link).park();
      } else {
        link.close();
      }
    }
  }

  /** An open connection between two probes. */
  private final class IdleConnection implements Link.LineHandler {
    private final InetSocketAddress address;
    private final Link link;
    private EventLoop.Timer expiry;

    IdleConnection(InetSocketAddress address, Link link) {
      this.address = address;
      this.link = link;
    }

    void park() {
      link.handler(this);
      idleConnections.computeIfAbsent(address, a -> new ArrayDeque<>()).push(this);
      expiry = net.loop().schedule(idleMicros, () -> take().close());
    }

    /** Removes the connection from the idle ones and returns its link to the caller. */
    Link take() {
      expiry.cancel();
      idleConnections.computeIfPresent(
          address, (a, all) -> all.remove(this) && all.isEmpty() ? null : all);
      return link;
    }

    @Override
    public void received(Link from) {
      LOG.warn("line-unasked", value("address", address));
      take().close();
    }

    @Override
    public void ended(Link from, boolean reset) {
      take().close();
    }
  }
}
