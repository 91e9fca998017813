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
 * Serves the management address. Each connection carries one request, which is answered as soon as
 * it is complete.
 *
 * <p>A request that is not complete within 2 s is answered with status 408. When all connections
 * are in use, a new one replaces the oldest, so that callers that keep their connections open
 * cannot block others. Everything runs on the event loop's thread.
 */
public final class ManagementServer {
  private static final Log LOG = Log.of("management");

  /**
   * The most connections at a time. One descriptor more than this is withheld from clients, for the
   * listening socket.
   */
  private static final int MAX_CONNECTIONS = 24;

  /** How long a caller may take to send its request, in microseconds. */
  private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;

  /**
   * The longest text that is sent without waiting for the caller to read it. A longer response may
   * not fit into the kernel's send buffer.
   */
  private static final int MAX_IMMEDIATE_TEXT_BYTES = 4_096;

  private final Net net;
  private final ManagementOperations operations;

  /** The open connections, the oldest first. */
  private final Set<Connection> connections = new LinkedHashSet<>();

  /**
   * Creates a server that does not listen yet.
   *
   * @param operations executes the requests, on the event loop's thread
   */
  public ManagementServer(Net net, ManagementOperations operations) {
    this.net = net;
    this.operations = operations;
  }

  /**
   * Listens at the address. To be called before the proxy listens for clients.
   *
   * @throws IOException if the address cannot be bound
   */
  public void listen(InetSocketAddress address) throws IOException {
    net.listenManagement(address, MAX_CONNECTIONS, this::accept);
  }

  private void accept(Link link) {
    if (connections.size() == MAX_CONNECTIONS) {
      connections.iterator().next().timeOut();
    }
    Connection connection = new Connection(link);
    link.handler(connection);
    connections.add(connection);
    connection.timeout = net.loop().schedule(REQUEST_TIMEOUT_MICROS, connection::timeOut);
    // A request that arrived with the connection is answered before a newer connection can
    // replace this one.
    link.readNow();
  }

  /** One connection, from its accept until its descriptor is released. */
  private final class Connection implements Link.LineHandler {
    private final Link link;
    private final Request request = new Request();
    private EventLoop.Timer timeout;
    private boolean answered;

    Connection(Link link) {
      this.link = link;
    }

    @Override
    public void received(Link from) {
      while (request.inHead()) {
        String line = link.buffer().nextLine();
        if (link.buffer().hasOverlongLine()) {
          request.rejectTooLong();
        } else if (line == null) {
          return;
        } else {
          request.headLine(line);
        }
      }
      if (answered) {
        // Discards what follows the request: closing with unread bytes would send a reset.
        link.buffer().clear();
        return;
      }
      Response response =
          request.execute(link.buffer().unreadBytes(), operations, this::answerLater);
      if (response != null) {
        answer(response);
      }
    }

    /** Answers unless the connection has ended or timed out in the meantime. */
    private void answerLater(Response response) {
      if (!answered && connections.contains(this)) {
        answer(response);
      }
    }

    /**
     * Answers the request. After a response that follows a fully read request the connection closes
     * at once; otherwise it is read until the caller closes it.
     */
    private void answer(Response response) {
      answered = true;
      // 409 and 503 are not logged: operators' tools poll a proxy that starts or drains many times
      // a second.
      if (response.status() >= 400 && response.status() != 409 && response.status() != 503) {
        LOG.info(
            "call-refused", value("status", response.status()), value("reason", response.text()));
      }
      boolean fitsSendBuffer = response.text().length() <= MAX_IMMEDIATE_TEXT_BYTES;
      if (fitsSendBuffer && (response.status() == 200 || response.status() == 503)) {
        closeWith(response);
      } else {
        link.send(response.lines());
        link.shutdownOutput();
      }
    }

    private void closeWith(Response response) {
      remove();
      link.closeNow(response.lines());
    }

    /** Ends the connection because its time is over or a newer connection needs its place. */
    private void timeOut() {
      if (answered) {
        remove();
        link.closeNow("");
      } else {
        closeWith(new Response(408, "no whole call in time"));
      }
    }

    @Override
    public void ended(Link from, boolean reset) {
      remove();
      link.close();
    }

    private void remove() {
      timeout.cancel();
      connections.remove(this);
    }
  }
}
