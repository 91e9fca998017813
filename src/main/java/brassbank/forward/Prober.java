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

/** Asks targets for their load, on connections that are kept for the next probe for a while. */
final class Prober {
  private static final Log LOG = Log.of("probe");

  /** A probe that takes longer says enough; a silent machine would never answer. */
  private static final long LIMIT_MICROS = 250_000;

  private static final byte[] STATS = "STATS\r\n".getBytes(StandardCharsets.US_ASCII);

  /** Who is told how a probe ended, once each. */
  interface Listener {
    void probed(Target target, Outcome ending, long elapsedMicros, List<Double> report);
  }

  private final Net net;
  private long connectMicros;
  private long idleMicros;
  private List<String> fields;
  private final Listener listener;

  /** The connections that wait for a next probe; none of these lists is empty. */
  private final Map<InetSocketAddress, Deque<Kept>> kept = new HashMap<>();

  Prober(Net net, long connectMicros, long idleMicros, List<String> fields, Listener listener) {
    this.net = net;
    this.listener = listener;
    settings(connectMicros, idleMicros, fields);
  }

  void settings(long connect, long idle, List<String> reportFields) {
    connectMicros = Math.min(connect, LIMIT_MICROS);
    // Sooner than the target, so that no probe goes into a connection that is just being closed.
    idleMicros = idle - idle / 5;
    fields = reportFields;
  }

  void probe(Target target) {
    new Probe(target).start();
  }

  /** One question to one target. It owns its connection and gives it back in {@link #giveBack}. */
  private final class Probe implements Link.LineHandler, Net.ConnectHandler {
    private final Target target;
    private final long startedAt = net.clock().nanos();
    private EventLoop.Timer limit;
    private Network.Attempt connecting;
    private Link link;
    private boolean sent;
    private boolean over;

    /** The connection has carried a probe before: its target may have ended it meanwhile. */
    private boolean used;

    Probe(Target target) {
      this.target = target;
    }

    void start() {
      limit = net.loop().schedule(LIMIT_MICROS, this::overdue);
      Deque<Kept> idle = kept.get(target.address());
      if (idle != null) {
        used = true;
        connected(idle.peek().take());
      } else {
        connect();
      }
    }

    private void connect() {
      connecting = net.connect(target.address(), connectMicros, this, this);
    }

    private void overdue() {
      end(link == null ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT, List.of());
    }

    @Override
    public void connected(Link connected) {
      link = connected;
      link.handler(this);
      link.send(STATS, () -> sent = true);
    }

    @Override
    public void failed(Throwable cause) {
      end(Outcome.CONNECT_FAILED, List.of());
    }

    @Override
    public void received(Link from) {
      String line = link.buffer().nextLine();
      if (link.buffer().hasOverlongLine()) {
        bad("a line that is too long");
      } else if (line != null) {
        answered(line);
      }
    }

    private void answered(String line) {
      if (line.equals("PONG") || line.startsWith("PONG ")) {
        try {
          String text = line.substring("PONG".length()).trim();
          end(Outcome.SERVED, text.isEmpty() ? List.of() : LoadReport.parse(text, fields));
        } catch (IllegalArgumentException e) {
          bad(line);
        }
      } else if (line.equals("ERR") || line.startsWith("ERR ")) {
        end(Outcome.ERROR, List.of());
      } else {
        bad(line);
      }
    }

    private void bad(String line) {
      LOG.warn("probe-answer-bad", target(target.name()), value("line", line));
      end(Outcome.ERROR, List.of());
    }

    @Override
    public void ended(Link from, boolean reset) {
      if (used && !over) {
        // An idle connection that its target ends as the question goes out tells nothing of the
        // target: taken for a failure, it kept a sound one without new flows and probes.
        used = false;
        sent = false;
        link.close();
        link = null;
        connect();
        return;
      }
      end(sent ? Outcome.RESET : Outcome.CONNECT_FAILED, List.of());
    }

    private void end(Outcome ending, List<Double> report) {
      if (!over) {
        over = true;
        giveBack(ending == Outcome.SERVED);
        long elapsed = TimeUnit.NANOSECONDS.toMicros(net.clock().nanos() - startedAt);
        listener.probed(target, ending, elapsed, report);
      }
    }

    private void giveBack(boolean usable) {
      limit.cancel();
      if (link == null) {
        connecting.cancel();
      } else if (usable
          && link.buffer().unreadBytes() == 0
          && link.isOpen()
          && !net.isAtCapacity()) {
        // What came behind the answer would be taken for the next one's, and that for the one
        // after.
        new Kept(target.address(), link).keep();
      } else {
        link.close();
      }
    }
  }

  /** A connection between two probes. */
  private final class Kept implements Link.LineHandler {
    private final InetSocketAddress address;
    private final Link link;
    private EventLoop.Timer idle;

    Kept(InetSocketAddress address, Link link) {
      this.address = address;
      this.link = link;
    }

    void keep() {
      link.handler(this);
      kept.computeIfAbsent(address, a -> new ArrayDeque<>()).push(this);
      idle = net.loop().schedule(idleMicros, () -> take().close());
    }

    /** Takes the connection off the list; it is the caller's from here on. */
    Link take() {
      idle.cancel();
      kept.computeIfPresent(address, (a, all) -> all.remove(this) && all.isEmpty() ? null : all);
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
