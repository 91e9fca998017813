import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A planned restart: clients that still connect within 0.4 s after SIGTERM write their line in two
 * pieces, 0.30 to 0.39 s apart. Does each whole line get an answer?
 */
final class StopHalfLine extends Rig {
  public static void main(String[] args) {
    play(StopHalfLine::run);
  }

  private static final class SlowClient {
    final String id = hex();
    volatile String answer;
    volatile String end;
    volatile boolean whole;

    void run(ProxyProcess proxy, long gapMillis) {
      try (Socket socket = new Socket("127.0.0.1", proxy.port)) {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(6_000);
        byte[] line = (Client.opening(id, "preview", 4_800) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        socket.getOutputStream().write(line, 0, 20);
        note("client " + id + " has connected and written the first piece of its line");
        sleep(gapMillis);
        socket.getOutputStream().write(line, 20, line.length - 20);
        whole = true;
        note("client " + id + " has written the last byte of its line");
        BufferedReader in = reader(socket);
        answer = in.readLine();
        end = answer == null ? "end" : null;
        note("client " + id + (answer == null ? "'s connection ends without an answer" : " is answered " + answer));
      } catch (IOException | InterruptedException e) {
        end = e.toString();
        note("client " + id + "'s connection fails: " + e);
      }
    }
  }

  static List<String> run() throws Exception {
    Host host = new Host("s-1");
    Discovery discovery = new Discovery();
    discovery.set(host.name, host.address, "SERVING");
    ProxyProcess proxy = startProxy(discovery, 192, "ask");
    sleep(3_000);
    if (TROUBLE) {
      proxy.signal("TERM");
    }
    long term = nowMillis();
    List<SlowClient> clients = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      sleep(term + 340 + 10 * i - nowMillis());
      SlowClient client = new SlowClient();
      clients.add(client);
      long gapMillis = 300 + 30 * i;
      thread("client", () -> client.run(proxy, gapMillis));
    }
    sleep(4_500);
    List<String> broken = new ArrayList<>();
    for (SlowClient client : clients) {
      if (client.whole && client.answer == null) {
        broken.add("request " + client.id + " was written whole and got no answer");
      }
    }
    return broken;
  }
}
