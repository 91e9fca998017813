package brassbank.grizzly;

import brassbank.log.Log;
import brassbank.net.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;

/** A UDP socket that is read on the selector thread. */
final class NioDatagrams implements Network.Datagrams {
  private static final Log LOG = Log.of("datagrams");

  /**
   * The most datagrams received per loop iteration. The rest stays in the kernel's buffer, so that
   * a burst does not delay the connections.
   */
  private static final int MAX_DATAGRAMS_PER_READ = 64;

  /**
   * The kernel's receive buffer. It holds a complete membership exchange of a large fleet while the
   * process is paused.
   */
  private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

  /** The kernel truncates longer datagrams; no sender of the fleet produces them. */
  private static final int MAX_DATAGRAM_BYTES = 2_048;

  private final DatagramChannel channel;
  private final Network.DatagramHandler handler;
  private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

  /**
   * Opens a socket. The return type is the interface, so that a process without datagrams loads
   * neither this class nor {@code DatagramChannel}.
   */
  static Network.Datagrams open(
      EventLoopSelector selector, InetSocketAddress address, Network.DatagramHandler handler)
      throws IOException {
    return new NioDatagrams(selector, address, handler);
  }

  private NioDatagrams(
      EventLoopSelector selector, InetSocketAddress address, Network.DatagramHandler handler)
      throws IOException {
    this.handler = handler;
    channel = DatagramChannel.open();
    try {
      channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      channel.bind(address);
      channel.configureBlocking(false);
      selector.register(channel, this::readable);
    } catch (IOException | RuntimeException e) {
      channel.close();
      throw e instanceof IOException io ? io : new IOException(e);
    }
  }

  private void readable() {
    try {
      for (int i = 0; i < MAX_DATAGRAMS_PER_READ && channel.isOpen(); i++) {
        buffer.clear();
        if (!(channel.receive(buffer) instanceof InetSocketAddress from)) {
          return;
        }
        byte[] bytes = new byte[buffer.flip().remaining()];
        buffer.get(bytes);
        handler.received(from, bytes);
      }
    } catch (IOException e) {
      // The kernel reports here that a datagram sent earlier could not be delivered.
    }
  }

  @Override
  public void send(InetSocketAddress to, byte[] bytes) {
    try {
      channel.send(ByteBuffer.wrap(bytes), to);
    } catch (IOException e) {
      // No route or no buffer space: the datagram is lost, as the interface allows.
    }
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.error("close-failed", e);
    }
  }
}
