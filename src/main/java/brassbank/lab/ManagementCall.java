package brassbank.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One operator's call, by HTTP/1.1, one to a connection; it waits, and belongs to a helper. */
final class ManagementCall {
  private static final int TIMEOUT_MILLIS = 2_000;
  private static final int MIN_ERROR_STATUS = 400;

  private ManagementCall() {}

  /** Whether the answer is yes; throws where none comes in time. */
  static boolean isAccepted(InetSocketAddress address, String method, String path)
      throws IOException {
    return status(exchange(address, method, path)) < MIN_ERROR_STATUS;
  }

  /** The text of a good answer; throws where none comes in time. */
  static String fetchText(InetSocketAddress address, String path) throws IOException {
    String said = exchange(address, "GET", path);
    int end = said.indexOf("\r\n\r\n");
    if (status(said) >= MIN_ERROR_STATUS || end < 0) {
      throw new IOException("no good answer to " + path);
    }
    return said.substring(end).strip();
  }

  private static int status(String said) throws IOException {
    if (!said.matches("(?s)HTTP/1\\.1 \\d{3}.*")) {
      throw new IOException("no answer: " + said);
    }
    return Integer.parseInt(said.substring(9, 12));
  }

  private static String exchange(InetSocketAddress address, String method, String path)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MILLIS);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      String request =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  /** Whether anybody listens there. */
  static boolean isListening(InetSocketAddress address) {
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MILLIS);
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
