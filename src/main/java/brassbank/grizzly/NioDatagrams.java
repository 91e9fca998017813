package brassbank.grizzly;

import brassbank.log.Log;
import brassbank.net.Network;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;

/** The kernel's socket for datagrams, on the selector thread. */
final class NioDatagrams implements Network.Datagrams {
  private static final Log LOG = Log.of("datagrams");

  /** One turn takes so many, and the rest waits in the kernel: connections have their turn too. */
  private static final int MAX_DATAGRAMS_PER_READ = 64;

  /** What the kernel keeps while the program does not run: a whole view of a large fleet. */
  private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

  /** Longer ones are cut off by the kernel, and are nobody's. */
  private static final int MAX_DATAGRAM_BYTES = 2_048;

  private final DatagramChannel channel;
  private final Network.DatagramHandler handler;
  private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

  /** By its contract's type, so that whoever opens none loads neither. */
  static Network.Datagrams open(
      EventLoopSelector selector, InetSocketAddress address, Network.DatagramHandler heard)
      throws IOException {
    return new NioDatagrams(selector, address, heard);
  }

  private NioDatagrams(
      EventLoopSelector selector, InetSocketAddress address, Network.DatagramHandler heard)
      throws IOException {
    this.handler = heard;
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
      // The kernel tells so of one that was sent before and came to nothing.
    }
  }

  @Override
  public void send(InetSocketAddress to, byte[] bytes) {
    try {
      channel.send(ByteBuffer.wrap(bytes), to);
    } catch (IOException e) {
      // No way there, or no room: lost, as a datagram may be.
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
