package brassbank.rehearsal;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A stream host that accepts every flow, echoes its lines, and answers probes with a low load. */
final class StubHost {
  private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final CountDownLatch probed = new CountDownLatch(1);

  StubHost() throws IOException {
    startDaemonThread(this::accept);
  }

  static void startDaemonThread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /**
   * Waits until a probe has been answered.
   *
   * @throws IOException if none arrives in time
   */
  void awaitProbe(int limitMillis) throws IOException, InterruptedException {
    if (!probed.await(limitMillis, TimeUnit.MILLISECONDS)) {
      throw new IOException("no probe arrived within " + limitMillis + " ms");
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = socket.accept();
        startDaemonThread(() -> serve(connection));
      }
    } catch (IOException e) {
      System.err.println("a stub host stopped accepting connections: " + e.getMessage());
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        String answer = line;
        if (line.equals("STATS")) {
          answer = "PONG x0=0.1,x1=0,throughput=1,errors_per_s=0";
        } else if (line.startsWith("OPEN ")) {
          answer = "UP r-1\r\nLOAD 0.05";
        }
        byte[] bytes = (answer + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        connection.getOutputStream().write(bytes);
        if (line.equals("STATS")) {
          probed.countDown();
        }
      }
    } catch (IOException e) {
      // The proxy has closed the connection, as it does when it stops.
    }
  }
}
