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
 * A connect in progress. It owns the connection until it has handed it to the handler. Grizzly's
 * connect uses the raw type {@code Connection}, hence the suppressed warning.
 */
@SuppressWarnings("rawtypes")
final class ConnectAttempt extends EmptyCompletionHandler<Connection> implements Network.Attempt {
  /** Receives the result: exactly one of the two calls, none if the attempt was cancelled. */
  interface Handler {
    void connected(Connection<?> connection);

    void failed(Throwable cause);
  }

  private final EventLoopSelector selector;
  private final Handler handler;
  private GrizzlyFuture<Connection> future;
  private Connection<?> connection;
  private boolean over;

  ConnectAttempt(EventLoopSelector selector, Handler handler) {
    this.selector = selector;
    this.handler = handler;
  }

  void start(TCPNIOTransport transport, FilterChain chain, InetSocketAddress address) {
    future = TCPNIOConnectorHandler.builder(transport).processor(chain).build().connect(address);
    future.addCompletionHandler(this);
  }

  /**
   * Notifies the handler from the event loop. A connect over loopback completes within {@link
   * #start}, and the caller must not be notified from within its own call.
   */
  private void notifyLater(Runnable notification) {
    selector.execute(
        () -> {
          if (!over) {
            over = true;
            notification.run();
          }
        });
  }

  @Override
  public void completed(Connection established) {
    if (over) {
      established.terminateSilently();
      return;
    }
    connection = established;
    notifyLater(() -> handler.connected(connection));
  }

  @Override
  public void failed(Throwable cause) {
    notifyLater(() -> handler.failed(cause));
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
