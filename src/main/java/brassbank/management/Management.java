package brassbank.management;

import static brassbank.log.Field.value;

import brassbank.log.Log;
import brassbank.net.EventLoop;
import brassbank.net.Link;
import brassbank.net.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Takes the operators' calls, one to a connection, and answers each as soon as it is whole. A call
 * that is not whole in time is told so, and the oldest connection gives way to a new one, so that
 * callers who hold theirs are in nobody's way. Everything runs on the loop's thread.
 */
public final class Management {
  private static final Log LOG = Log.of("management");

  /** Connections at a time; the descriptors that the clients lack for it are one more. */
  private static final int PLACES = 24;

  /** A call is whole by then, or is told that it came too late. */
  private static final long WHOLE_MICROS = 2_000_000;

  /** A longer answer may not fit into the kernel's buffer: its caller is waited for. */
  private static final int SMALL = 4_096;

  private final Net net;
  private final Operators operators;

  /** The oldest first. */
  private final Set<Caller> callers = new LinkedHashSet<>();

  public Management(Net net, Operators operators) {
    this.net = net;
    this.operators = operators;
  }

  /** Listens at this address, before the clients' address is listened at. */
  public void listen(InetSocketAddress address) throws IOException {
    net.listenManagement(address, PLACES, this::accept);
  }

  private void accept(Link link) {
    if (callers.size() == PLACES) {
      callers.iterator().next().late();
    }
    Caller caller = new Caller(link);
    link.handler(caller);
    callers.add(caller);
    caller.limit = net.loop().schedule(WHOLE_MICROS, caller::late);
    // What came with the connection is answered before another can push it out.
    link.readNow();
  }

  /** One connection, until its descriptor is free. */
  private final class Caller implements Link.LineHandler {
    private final Link link;
    private final Request request = new Request();
    private EventLoop.Timer limit;
    private boolean answered;

    Caller(Link link) {
      this.link = link;
    }

    @Override
    public void received(Link from) {
      while (request.inHead()) {
        String line = link.buffer().nextLine();
        if (link.buffer().hasOverlongLine()) {
          request.tooLong();
        } else if (line == null) {
          return;
        } else {
          request.line(line);
        }
      }
      if (answered) {
        // What follows the call is thrown away, so that the end does not become a reset.
        link.buffer().clear();
        return;
      }
      Reply reply = request.reply(link.buffer().unreadBytes(), operators, this::later);
      if (reply != null) {
        answer(reply);
      }
    }

    /** The caller may have gone meanwhile, or have been told that it took too long. */
    private void later(Reply reply) {
      if (!answered && callers.contains(this)) {
        answer(reply);
      }
    }

    /** A connection whose every byte was read ends at once; another is read until its end. */
    private void answer(Reply reply) {
      answered = true;
      // A proxy's no is asked for many times a second while it starts or drains.
      if (reply.status() >= 400 && reply.status() != 409 && reply.status() != 503) {
        LOG.info("call-refused", value("status", reply.status()), value("reason", reply.text()));
      }
      boolean small = reply.text().length() <= SMALL;
      if (small && (reply.status() == 200 || reply.status() == 503)) {
        end(reply);
      } else {
        link.send(reply.lines());
        link.shutdownOutput();
      }
    }

    private void end(Reply reply) {
      over();
      link.closeNow(reply.lines());
    }

    private void late() {
      if (answered) {
        over();
        link.closeNow("");
      } else {
        end(new Reply(408, "no whole call in time"));
      }
    }

    @Override
    public void ended(Link from, boolean reset) {
      over();
      link.close();
    }

    private void over() {
      limit.cancel();
      callers.remove(this);
    }
  }
}
