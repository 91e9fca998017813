package brassbank.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One operator's call, by HTTP/1.1, one to a connection; it waits, and belongs to a helper. */
final class Call {
  private static final int PATIENCE_MILLIS = 2_000;
  private static final int LEAST_REFUSAL = 400;

  private Call() {}

  /** Whether the answer is yes; throws where none comes in time. */
  static boolean yes(InetSocketAddress address, String method, String path) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, PATIENCE_MILLIS);
      socket.setSoTimeout(PATIENCE_MILLIS);
      String request =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String status =
          new BufferedReader(
                  new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
              .readLine();
      if (status == null || !status.matches("HTTP/1\\.1 \\d{3}.*")) {
        throw new IOException("no answer to " + method + " " + path + ": " + status);
      }
      return Integer.parseInt(status.substring(9, 12)) < LEAST_REFUSAL;
    }
  }

  /** Whether anybody listens there. */
  static boolean listens(InetSocketAddress address) {
    try (Socket socket = new Socket()) {
      socket.connect(address, PATIENCE_MILLIS);
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
