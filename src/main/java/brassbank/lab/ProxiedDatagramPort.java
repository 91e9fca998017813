package brassbank.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;

/**
 * The datagram socket that stands for one proxy towards all other proxies. All of them use the same
 * address, because fleet members exchange the addresses of third members. What other processes send
 * to it goes into the simulated network; what this proxy's process sends reaches them from it.
 */
final class ProxiedDatagramPort implements RealTimeDriver.ReadyHandler {
  /** Datagrams read per event; the rest waits in the kernel's buffer. */
  private static final int MAX_DATAGRAMS_PER_READ = 64;

  /** Receives each datagram with the address of its sender. */
  interface DatagramHandler {
    void onDatagram(SocketAddress from, byte[] bytes);
  }

  private final DatagramChannel channel;
  private final DatagramHandler handler;
  private final ByteBuffer scratch = ByteBuffer.allocate(64 * 1024);

  ProxiedDatagramPort(RealTimeDriver driver, InetSocketAddress address, DatagramHandler handler)
      throws IOException {
    this.handler = handler;
    channel = DatagramChannel.open();
    channel.bind(address);
    channel.configureBlocking(false);
    driver.register(channel, SelectionKey.OP_READ, this);
  }

  @Override
  public void onReady(SelectionKey key) {
    try {
      for (int i = 0; i < MAX_DATAGRAMS_PER_READ; i++) {
        scratch.clear();
        SocketAddress from = channel.receive(scratch);
        if (from == null) {
          return;
        }
        byte[] bytes = new byte[scratch.flip().remaining()];
        scratch.get(bytes);
        handler.onDatagram(from, bytes);
      }
    } catch (IOException e) {
      // The kernel reports a stopped peer process this way; there is nothing to read.
    }
  }

  /** Sends a datagram of this proxy to another process; the kernel may drop it. */
  void deliver(InetSocketAddress process, byte[] bytes) {
    try {
      channel.send(ByteBuffer.wrap(bytes), process);
    } catch (IOException e) {
      // The datagram is lost: no process listens at the address.
    }
  }

  void close() throws IOException {
    channel.close();
  }
}
