import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Some clients read more slowly than their stream host sends. Nothing else happens. Do their
 * sessions stand, or else end with MOVE?
 */
final class SlowReaders extends Rig {
  /** What a stream host sends to a client, in lines of 4,000 bytes. */
  private static final int LINES_PER_SECOND = 100;

  private static final int LINE_BYTES = 4_000;

  /** What the link of a slow client carries: a quarter of that. */
  private static final int SLOW_BYTES_PER_SECOND = 100_000;

  private static final int CLIENTS = 6;

  public static void main(String[] args) {
    play(SlowReaders::run);
  }

  /** A stream host that streams to its clients as fast as they take it, up to its rate. */
  private static final class StreamingHost extends Host {
    StreamingHost(String name) throws IOException {
      super(name);
    }

    @Override
    boolean line(Socket connection, String line) throws IOException {
      synchronized (connection) {
        boolean goesOn = super.line(connection, line);
        if (line.startsWith("OPEN ")) {
          thread("stream", () -> stream(connection));
        }
        return goesOn;
      }
    }

    private void stream(Socket connection) {
      String filler = "#".repeat(LINE_BYTES - 20);
      try {
        long start = System.nanoTime();
        for (int i = 0; ; i++) {
          synchronized (connection) {
            write(connection, String.format("frame %010d ", i) + filler);
          }
          sleep(i * 1_000L / LINES_PER_SECOND - (System.nanoTime() - start) / 1_000_000);
        }
      } catch (IOException | InterruptedException e) {
        note("a stream of " + name + " ends: " + e.getMessage());
      }
    }
  }

  private static final class StreamClient {
    final String id = hex();
    final boolean slow;
    volatile boolean up;
    volatile boolean moved;
    volatile String end;
    volatile long readBytes;

    StreamClient(boolean slow) {
      this.slow = slow;
    }

    void run(ProxyProcess proxy) {
      try (Socket socket = new Socket()) {
        if (slow) {
          // The link is slow, so that what it has not carried yet waits with the sender.
          socket.setReceiveBufferSize(16 * 1024);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", proxy.port), 2_000);
        write(socket, Client.opening(id, "preview", 4_800));
        read(socket);
      } catch (IOException | InterruptedException e) {
        end = "reset";
      }
      note(
          "client " + id + (slow ? " (slow)" : "") + " has read " + readBytes + " bytes; its connection ends: "
              + end + (moved ? " after MOVE" : " without MOVE"));
    }

    private void read(Socket socket) throws IOException, InterruptedException {
      InputStream in = socket.getInputStream();
      byte[] bytes = new byte[slow ? 2_048 : 65_536];
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      long start = System.nanoTime();
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        readBytes += count;
        for (int i = 0; i < count; i++) {
          if (bytes[i] != '\n') {
            line.write(bytes[i]);
            continue;
          }
          String text = line.toString(StandardCharsets.ISO_8859_1).trim();
          line.reset();
          if (text.startsWith("UP ")) {
            up = true;
            note("client " + id + (slow ? " (slow)" : "") + " is up");
            thread("lines", () -> sendLines(socket));
          } else if (text.equals("MOVE")) {
            moved = true;
            end = "end";
            return;
          }
        }
        if (slow) {
          sleep(readBytes * 1_000 / SLOW_BYTES_PER_SECOND - (System.nanoTime() - start) / 1_000_000);
        }
      }
      end = "end";
    }

    private void sendLines(Socket socket) {
      try {
        for (int i = 0; end == null; i++) {
          write(socket, "line " + i);
          sleep(2_000);
        }
      } catch (IOException | InterruptedException e) {
        // The reader sees how the connection ended.
      }
    }
  }

  static List<String> run() throws Exception {
    Host host = new StreamingHost("s-1");
    Host other = new StreamingHost("s-2");
    Discovery discovery = new Discovery();
    discovery.set(host.name, host.address, "SERVING");
    discovery.set(other.name, other.address, "SERVING");
    ProxyProcess proxy = startProxy(discovery, 192, "ask");
    sleep(3_000);
    List<StreamClient> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      StreamClient client = new StreamClient(TROUBLE && i % 2 == 0);
      clients.add(client);
      thread("client", () -> client.run(proxy));
      sleep(150);
    }
    sleep(60_000);
    List<String> broken = new ArrayList<>();
    for (StreamClient client : clients) {
      if (client.up && client.end != null && !client.moved) {
        broken.add("client " + client.id + (client.slow ? " (slow)" : "") + " was cut off without MOVE: " + client.end);
      }
    }
    say(clients.stream().filter(c -> c.up).count() + " sessions stood, " + broken.size() + " were cut off without MOVE");
    return broken;
  }
}
