package brassbank.lab;

import java.io.IOException;
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
    return status(said(address, method, path)) < LEAST_REFUSAL;
  }

  /** The text of a good answer; throws where none comes in time. */
  static String text(InetSocketAddress address, String path) throws IOException {
    String said = said(address, "GET", path);
    int end = said.indexOf("\r\n\r\n");
    if (status(said) >= LEAST_REFUSAL || end < 0) {
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

  private static String said(InetSocketAddress address, String method, String path)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address, PATIENCE_MILLIS);
      socket.setSoTimeout(PATIENCE_MILLIS);
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
  static boolean listens(InetSocketAddress address) {
    try (Socket socket = new Socket()) {
      socket.connect(address, PATIENCE_MILLIS);
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
