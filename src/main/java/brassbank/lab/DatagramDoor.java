package brassbank.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.function.Consumer;

/**
 * Where one proxy meets another for datagrams: what its process sends here goes into the simulated
 * network, and what comes out of that from the other is sent to the process from here. Only what
 * the process sends from its own address is taken.
 */
final class DatagramDoor implements Turner.Ready {
  /** One turn takes so many, and the rest waits in the kernel. */
  private static final int AT_ONCE = 64;

  private final DatagramChannel channel;
  private final InetSocketAddress process;
  private final Consumer<byte[]> sent;
  private final ByteBuffer scratch = ByteBuffer.allocate(64 * 1024);

  /**
   * @param address where the process meets the other
   * @param process where the process itself listens
   * @param sent is handed what the process has sent
   */
  DatagramDoor(
      Turner turner, InetSocketAddress address, InetSocketAddress process, Consumer<byte[]> sent)
      throws IOException {
    this.process = process;
    this.sent = sent;
    channel = DatagramChannel.open();
    channel.bind(address);
    channel.configureBlocking(false);
    turner.register(channel, SelectionKey.OP_READ, this);
  }

  @Override
  public void ready(SelectionKey key) {
    try {
      for (int i = 0; i < AT_ONCE; i++) {
        scratch.clear();
        SocketAddress from = channel.receive(scratch);
        if (from == null) {
          return;
        }
        byte[] bytes = new byte[scratch.flip().remaining()];
        scratch.get(bytes);
        if (from.equals(process)) {
          sent.accept(bytes);
        }
      }
    } catch (IOException e) {
      // A process that has gone is told by an error of this kind; there is nothing to be read.
    }
  }

  /** The other has sent this. A kernel without room for it loses it, as it may. */
  void deliver(byte[] bytes) {
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
