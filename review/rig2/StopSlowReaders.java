import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A planned restart while some clients read more slowly than their stream host sends: does each
 * session end with MOVE?
 */
final class StopSlowReaders extends Rig {
  /** What a stream host sends to a client: 40 lines of 4,000 bytes a second. */
  private static final int LINES_PER_SECOND = 40;

  private static final int LINE_BYTES = 4_000;

  /** What the link of a slow client carries: four fifths of that. */
  private static final int SLOW_BYTES_PER_SECOND = LINES_PER_SECOND * LINE_BYTES * 4 / 5;

  private static final int CLIENTS = 6;

  public static void main(String[] args) {
    play(StopSlowReaders::run);
  }

  /** A stream host that streams to its clients, from its first answer on. */
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
        for (int i = 0; ; i++) {
          synchronized (connection) {
            write(connection, String.format("frame %010d ", i) + filler);
          }
          sleep(1_000 / LINES_PER_SECOND);
        }
      } catch (IOException | InterruptedException e) {
        // The connection has ended.
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
        thread("lines", () -> sendLines(socket));
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
      byte[] bytes = new byte[2_048];
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
          sleep(2_000);
          write(socket, "line " + i);
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
    sleep(8_000);
    proxy.signal("TERM");
    long term = nowMillis();
    proxy.process.waitFor(3_700, java.util.concurrent.TimeUnit.MILLISECONDS);
    note("the proxy " + (proxy.process.isAlive() ? "is killed" : "has ended by itself") + " " + (nowMillis() - term) + " ms after SIGTERM");
    proxy.process.destroyForcibly();
    sleep(12_000);
    List<String> broken = new ArrayList<>();
    for (StreamClient client : clients) {
      if (client.up && !client.moved) {
        broken.add("client " + client.id + (client.slow ? " (slow)" : "") + " was cut off without MOVE: " + client.end);
      }
    }
    say(clients.stream().filter(c -> c.up).count() + " sessions stood, " + broken.size() + " were cut off without MOVE");
    return broken;
  }
}
