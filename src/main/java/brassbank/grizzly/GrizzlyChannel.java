package brassbank.grizzly;

import static brassbank.log.Field.value;

import brassbank.log.Log;
import brassbank.net.Channel;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * A {@link Channel} on a Grizzly connection. Grizzly manages the socket's interest set and events;
 * bytes pass directly between the socket and the callers' buffers, without Grizzly's write queue.
 */
final class GrizzlyChannel implements Channel {
  private static final Log LOG = Log.of("channel");

  private static final Attribute<GrizzlyChannel> CHANNEL =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("brassbank.channel");

  private final NIOConnection connection;
  private Handler handler;

  private GrizzlyChannel(NIOConnection connection) {
    this.connection = connection;
  }

  /** Creates the channel of an established connection. */
  static GrizzlyChannel create(Connection<?> connection) {
    GrizzlyChannel channel = new GrizzlyChannel((NIOConnection) connection);
    CHANNEL.set(connection, channel);
    return channel;
  }

  /** Returns the connection's channel, or null if it has none. */
  static GrizzlyChannel of(Connection<?> connection) {
    return CHANNEL.get(connection);
  }

  private SocketChannel socket() {
    return (SocketChannel) connection.getChannel();
  }

  @Override
  public void handler(Handler next) {
    handler = next;
  }

  @Override
  public int read(ByteBuffer into) throws IOException {
    return socket().read(into);
  }

  @Override
  public int write(ByteBuffer from) throws IOException {
    return socket().write(from);
  }

  @Override
  public void reading(boolean on) {
    interest(IOEvent.READ, on);
  }

  @Override
  public void writing(boolean on) {
    interest(IOEvent.WRITE, on);
  }

  private void interest(IOEvent event, boolean on) {
    try {
      if (on) {
        connection.enableIOEvent(event);
      } else {
        connection.disableIOEvent(event);
      }
    } catch (IOException e) {
      // Declared by Grizzly's method; the selector handler in use does not throw it.
      LOG.error("interest-failed", e);
    }
  }

  @Override
  public void sendBuffer(int bytes) {
    try {
      socket().setOption(StandardSocketOptions.SO_SNDBUF, bytes);
    } catch (IOException e) {
      // If the connection has failed, its next read or write reports that.
      LOG.info("send-buffer-unset", value("reason", e.getMessage()));
    }
  }

  @Override
  public void shutdownOutput() throws IOException {
    socket().shutdownOutput();
  }

  @Override
  public void close() {
    handler = null;
    connection.terminateSilently();
  }

  @Override
  public void reset() {
    try {
      socket().setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException | UnsupportedOperationException e) {
      LOG.info("reset-late", value("reason", e.getMessage()));
    }
    close();
  }

  void readable() {
    if (handler != null) {
      handler.readable();
    }
  }

  void writable() {
    if (handler != null) {
      handler.writable();
    }
  }

  void broken() {
    Handler last = handler;
    handler = null;
    if (last != null) {
      last.broken();
    }
  }
}
