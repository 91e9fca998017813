import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stream hosts by the thousand, on one thread: each listens on a loopback address of its own,
 * answers probes, takes flows with UP and returns every other line.
 */
final class ManyHosts {
  final List<String> addresses = new ArrayList<>();
  private final Selector selector = Selector.open();
  private int receipts;

  /** The addresses that hang: their connections come up, and nothing is read or answered there. */
  final Set<String> hanging = ConcurrentHashMap.newKeySet();

  /** Connections with unread bytes at addresses that hang or have hung. */
  private final Map<SocketChannel, StringBuilder> unread = new ConcurrentHashMap<>();

  ManyHosts(int count) throws IOException {
    int port = Rig.freePort();
    for (int i = 0; i < count; i++) {
      ServerSocketChannel server = ServerSocketChannel.open();
      String address = "127." + (20 + i / 200) + "." + (i % 200 + 1) + ".7";
      server.bind(new InetSocketAddress(address, port), 64);
      server.configureBlocking(false);
      server.register(selector, SelectionKey.OP_ACCEPT);
      addresses.add(address + ":" + port);
    }
    Rig.thread("hosts", this::run);
  }

  private void run() {
    try {
      while (true) {
        if (hanging.isEmpty() && !unread.isEmpty()) {
          for (SocketChannel channel : unread.keySet()) {
            SelectionKey key = channel.keyFor(selector);
            if (key != null && key.isValid()) {
              key.interestOps(SelectionKey.OP_READ);
            }
          }
          unread.clear();
        }
        selector.select(
            key -> {
              try {
                if (key.isAcceptable()) {
                  SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                  if (accepted != null) {
                    accepted.configureBlocking(false);
                    accepted.register(selector, SelectionKey.OP_READ, new StringBuilder());
                  }
                } else {
                  read((SocketChannel) key.channel(), (StringBuilder) key.attachment(), key);
                }
              } catch (IOException e) {
                try {
                  key.channel().close();
                } catch (IOException ignored) {
                  // It is closed.
                }
              }
            });
      }
    } catch (IOException e) {
      Rig.note("the hosts have failed: " + e);
    }
  }

  private static String local(SocketChannel channel) throws IOException {
    InetSocketAddress address = (InetSocketAddress) channel.getLocalAddress();
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Ends the hang: what has arrived meanwhile is read. */
  void resume() {
    hanging.clear();
    selector.wakeup();
  }

  private void read(SocketChannel channel, StringBuilder text, SelectionKey key) throws IOException {
    if (!hanging.isEmpty() && hanging.contains(local(channel))) {
      key.interestOps(0);
      unread.put(channel, text);
      return;
    }
    ByteBuffer buffer = ByteBuffer.allocate(4_096);
    if (channel.read(buffer) < 0) {
      channel.close();
      return;
    }
    text.append(StandardCharsets.ISO_8859_1.decode(buffer.flip()));
    for (int feed = text.indexOf("\r\n"); feed >= 0; feed = text.indexOf("\r\n")) {
      String line = text.substring(0, feed);
      text.delete(0, feed + 2);
      String answer = line;
      if (line.equals("PING")) {
        answer = "PONG";
      } else if (line.equals("STATS")) {
        answer = "PONG x0=0.1,x1=0,throughput=1,errors_per_s=0";
      } else if (line.startsWith("OPEN ")) {
        answer = "UP r-" + ++receipts;
      }
      channel.write(ByteBuffer.wrap((answer + "\r\n").getBytes(StandardCharsets.ISO_8859_1)));
    }
  }
}
