package brassbank.grizzly;

import brassbank.net.Network;
import java.net.InetSocketAddress;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * A connect with a chain, which owns the connection until it has told of it. Grizzly's connect is
 * typed with the raw connection, hence the suppressed warning.
 */
@SuppressWarnings("rawtypes")
final class ConnectAttempt extends EmptyCompletionHandler<Connection> implements Network.Attempt {
  /** What becomes of it: one of the two, unless it is cancelled before. */
  interface Handler {
    void connected(Connection<?> connection);

    void failed(Throwable cause);
  }

  private final EventLoopSelector selector;
  private final Handler outcome;
  private GrizzlyFuture<Connection> future;
  private Connection<?> connection;
  private boolean over;

  ConnectAttempt(EventLoopSelector selector, Handler outcome) {
    this.selector = selector;
    this.outcome = outcome;
  }

  void start(TCPNIOTransport transport, FilterChain chain, InetSocketAddress address) {
    future = TCPNIOConnectorHandler.builder(transport).processor(chain).build().connect(address);
    future.addCompletionHandler(this);
  }

  /** Loopback connects are up, or refused, within the call: whoever made it hears of it later. */
  private void notifyLater(Runnable news) {
    selector.execute(
        () -> {
          if (!over) {
            over = true;
            news.run();
          }
        });
  }

  @Override
  public void completed(Connection up) {
    if (over) {
      up.terminateSilently();
      return;
    }
    connection = up;
    notifyLater(() -> outcome.connected(connection));
  }

  @Override
  public void failed(Throwable cause) {
    notifyLater(() -> outcome.failed(cause));
  }

  @Override
  public void cancel() {
    if (over) {
      return;
    }
    over = true;
    if (connection != null) {
      connection.terminateSilently();
    } else {
      future.cancel(true);
    }
  }
}
