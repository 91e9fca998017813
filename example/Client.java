import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/**
 * An example client: java example/Client.java. It waits until the stub hosts and the proxy are
 * ready, opens a session, sends each line typed on standard input and prints each received line. It
 * exits when the session ends, and sends BYE when the input ends.
 */
public final class Client {
  private static final int PROXY_PORT = 7000;

  /** The ports of the stub hosts and the proxy; each answers PING as soon as it is ready. */
  private static final int[] PORTS = {7071, 7072, PROXY_PORT};

  private static final int READY_TIMEOUT_MILLIS = 20_000;

  public static void main(String[] args) throws Exception {
    for (int port : PORTS) {
      awaitReady(port);
    }
    Random random = new Random();
    String ids = String.format("%016x %016x", random.nextLong(), random.nextLong());
    try (Socket proxy = new Socket("127.0.0.1", PROXY_PORT)) {
      send(proxy, "OPEN " + ids + " c=preview,t=kelvin-stone,d=2000");
      BufferedReader in = reader(proxy);
      String line = in.readLine();
      System.out.println(line);
      if (line != null && line.startsWith("UP")) {
        // Starts only now, since the protocol forbids lines before the answer to OPEN.
        Thread inputThread = new Thread(() -> forwardInput(proxy));
        inputThread.setDaemon(true);
        inputThread.start();
      }
      while ((line = in.readLine()) != null) {
        System.out.println(line);
      }
    }
  }

  private static void awaitReady(int port) throws IOException, InterruptedException {
    for (long deadlineMillis = System.currentTimeMillis() + READY_TIMEOUT_MILLIS;
        ;
        Thread.sleep(50)) {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        send(socket, "PING");
        if ("PONG".equals(reader(socket).readLine())) {
          return;
        }
      } catch (ConnectException e) {
        if (System.currentTimeMillis() > deadlineMillis) {
          throw new IOException("no answer to PING on 127.0.0.1:" + port + " within 20 s", e);
        }
      }
    }
  }

  private static void forwardInput(Socket proxy) {
    BufferedReader input =
        new BufferedReader(new InputStreamReader(System.in, Charset.defaultCharset()));
    try {
      for (String line = input.readLine(); line != null; line = input.readLine()) {
        send(proxy, line);
      }
      send(proxy, "BYE");
    } catch (IOException e) {
      System.err.println("the session has ended: " + e.getMessage());
    }
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
  }

  private static void send(Socket socket, String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }
}
