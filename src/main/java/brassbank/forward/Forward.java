package brassbank.forward;

import static brassbank.log.Field.flow;
import static brassbank.log.Field.target;
import static brassbank.log.Field.value;

import brassbank.decide.Outcome;
import brassbank.decide.Target;
import brassbank.log.Log;
import brassbank.net.Link;
import brassbank.net.Net;
import brassbank.net.Network;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/**
 * One attempt of a flow at a target, from its connect to the target's first line. It owns the
 * target's link until the target serves, and gives it back in {@link #cancel}.
 */
final class Forward implements Link.LineHandler, Net.ConnectHandler {
  private static final Log LOG = Log.of("forward");

  /** What becomes of a forward: one of the two is told, unless it is cancelled before. */
  interface Listener {
    /** The target serves: from here on its link is the listener's. */
    void up(String line, Link target);

    void ended(Outcome ending);
  }

  private final Net net;
  private final long flow;
  private final Target target;
  private final Supplier<String> opening;
  private final Listener listener;
  private Network.Attempt connecting;
  private Link link;
  private boolean sent;
  private boolean over;

  /**
   * {@code opening} gives the first line once the connection is up, since its time runs till then;
   * or null where it is too late to send it.
   */
  Forward(Net net, long flow, Target target, Supplier<String> opening, Listener listener) {
    this.net = net;
    this.flow = flow;
    this.target = target;
    this.opening = opening;
    this.listener = listener;
  }

  void start(long connectMicros) {
    connecting = net.connect(target.address(), connectMicros, this, this);
  }

  @Override
  public void connected(Link connected) {
    link = connected;
    String line = opening.get();
    if (line == null) {
      end(Outcome.CONNECT_FAILED);
      return;
    }
    // Only a line whose last byte has been written may have run.
    link.send((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1), () -> sent = true);
  }

  @Override
  public void failed(Throwable cause) {
    end(Outcome.CONNECT_FAILED);
  }

  @Override
  public void received(Link from) {
    String line = link.buffer().nextLine();
    if (!sent) {
      // Whatever this answers, it is not our line, which never goes out now.
      LOG.warn("answer-early", flow(flow), target(target.name()));
      end(Outcome.CONNECT_FAILED);
    } else if (link.buffer().hasOverlongLine()) {
      LOG.warn("answer-overlong", flow(flow), target(target.name()));
      end(Outcome.ERROR);
    } else if (line != null) {
      answered(line);
    }
  }

  private void answered(String line) {
    int space = line.indexOf(' ');
    switch (space < 0 ? line : line.substring(0, space)) {
      case "UP" -> {
        if (line.length() <= "UP ".length()) {
          // Without a receipt no stream host has served: it is not to be passed off as that.
          bad(line);
          return;
        }
        over = true;
        listener.up(line, link);
      }
      case "BUSY" -> end(Outcome.BUSY);
      case "MOVE" -> end(Outcome.CANCELLED);
      case "ERR" -> end(Outcome.ERROR);
      default -> bad(line);
    }
  }

  private void bad(String line) {
    LOG.warn("answer-bad", flow(flow), target(target.name()), value("line", line));
    end(Outcome.ERROR);
  }

  @Override
  public void ended(Link from, boolean reset) {
    end(sent ? Outcome.RESET : Outcome.CONNECT_FAILED);
  }

  private void end(Outcome ending) {
    if (!over) {
      cancel();
      listener.ended(ending);
    }
  }

  /** Gives the attempt up. A line that is not out yet never goes out. */
  void cancel() {
    over = true;
    if (link == null) {
      connecting.cancel();
    } else if (sent) {
      link.close();
    } else {
      link.reset();
    }
  }
}
