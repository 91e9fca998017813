package brassbank.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;

/**
 * Where all others meet one proxy for datagrams, at one address for all, since members of a fleet
 * tell each other where a third one is met: what their processes send here goes into the simulated
 * network, and what this proxy's process sends comes to them from here.
 */
final class ProxiedDatagramPort implements RealTimeDriver.ReadyHandler {
  /** One turn takes so many, and the rest waits in the kernel. */
  private static final int MAX_DATAGRAMS_PER_READ = 64;

  /** Who is handed what has come, by the address that it came from. */
  interface DatagramHandler {
    void onDatagram(SocketAddress from, byte[] bytes);
  }

  private final DatagramChannel channel;
  private final DatagramHandler handler;
  private final ByteBuffer scratch = ByteBuffer.allocate(64 * 1024);

  ProxiedDatagramPort(RealTimeDriver turner, InetSocketAddress address, DatagramHandler sent)
      throws IOException {
    this.handler = sent;
    channel = DatagramChannel.open();
    channel.bind(address);
    channel.configureBlocking(false);
    turner.register(channel, SelectionKey.OP_READ, this);
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
      // A process that has gone is told by an error of this kind; there is nothing to be read.
    }
  }

  /** The proxy has sent this to a process. A kernel without room for it loses it, as it may. */
  void deliver(InetSocketAddress process, byte[] bytes) {
    try {
      channel.send(ByteBuffer.wrap(bytes), process);
    } catch (IOException e) {
      // Lost, as a datagram may be: nobody listens there.
    }
  }

  void close() throws IOException {
    channel.close();
  }
}
