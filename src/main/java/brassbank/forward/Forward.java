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
 * One attempt to open a flow at a target, from the connect to the target's first line. It owns the
 * target's link until the target accepts the flow, and releases it in {@link #cancel}. Runs on the
 * event loop.
 */
final class Forward implements Link.LineHandler, Net.ConnectHandler {
  private static final Log LOG = Log.of("forward");

  /** Receives the result of a forward: one call, or none if the forward is cancelled before. */
  interface Listener {
    /** The target has accepted the flow; its link now belongs to the listener. */
    void established(String line, Link target);

    /** The attempt has ended without a connection. */
    void ended(Outcome outcome);
  }

  private final Net net;
  private final long flow;
  private final Target target;
  private final Supplier<String> openingLine;
  private final Listener listener;
  private Network.Attempt connectAttempt;
  private Link link;
  private boolean isSent;
  private boolean isFinished;

  /**
   * Creates a forward, which {@link #start} begins.
   *
   * @param openingLine supplies the first line when the connection is up, since the line states the
   *     remaining time; supplies null if the line must no longer be sent
   */
  Forward(Net net, long flow, Target target, Supplier<String> openingLine, Listener listener) {
    this.net = net;
    this.flow = flow;
    this.target = target;
    this.openingLine = openingLine;
    this.listener = listener;
  }

  void start(long connectMicros) {
    connectAttempt = net.connect(target.address(), connectMicros, this, this);
  }

  @Override
  public void connected(Link connected) {
    link = connected;
    String line = openingLine.get();
    if (line == null) {
      finish(Outcome.CONNECT_FAILED);
      return;
    }
    // The attempt may have run only once the last byte of the line has been written.
    link.send((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1), () -> isSent = true);
  }

  @Override
  public void failed(Throwable cause) {
    finish(Outcome.CONNECT_FAILED);
  }

  @Override
  public void received(Link from) {
    String line = link.buffer().nextLine();
    if (!isSent) {
      // This cannot be an answer to the line, which has not been written and never will be.
      LOG.warn("answer-early", flow(flow), target(target.name()));
      finish(Outcome.CONNECT_FAILED);
    } else if (link.buffer().hasOverlongLine()) {
      LOG.warn("answer-overlong", flow(flow), target(target.name()));
      finish(Outcome.ERROR);
    } else if (line != null) {
      handleAnswer(line);
    }
  }

  private void handleAnswer(String line) {
    int space = line.indexOf(' ');
    switch (space < 0 ? line : line.substring(0, space)) {
      case "UP" -> {
        if (line.length() <= "UP ".length()) {
          // A stream host that accepts a flow sends a receipt; the client must not get UP without.
          rejectAnswer(line);
          return;
        }
        isFinished = true;
        listener.established(line, link);
      }
      case "BUSY" -> finish(Outcome.BUSY);
      case "MOVE" -> finish(Outcome.CANCELLED);
      case "ERR" -> finish(Outcome.ERROR);
      default -> rejectAnswer(line);
    }
  }

  private void rejectAnswer(String line) {
    LOG.warn("answer-bad", flow(flow), target(target.name()), value("line", line));
    finish(Outcome.ERROR);
  }

  @Override
  public void ended(Link from, boolean reset) {
    finish(isSent ? Outcome.RESET : Outcome.CONNECT_FAILED);
  }

  private void finish(Outcome outcome) {
    if (!isFinished) {
      cancel();
      listener.ended(outcome);
    }
  }

  /** Cancels the attempt. A line that has not been written completely is not written further. */
  void cancel() {
    isFinished = true;
    if (link == null) {
      connectAttempt.cancel();
    } else if (isSent) {
      link.close();
    } else {
      link.reset();
    }
  }
}
