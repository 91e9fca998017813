package brassbank.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Calls the management interface of a proxy by HTTP/1.1, one request per connection. Every call
 * blocks, for at most the time-out per read, so it belongs on a background thread.
 */
final class ManagementCall {
  private static final int TIMEOUT_MILLIS = 2_000;
  private static final int MIN_ERROR_STATUS = 400;

  private ManagementCall() {}

  /**
   * Returns whether the response has a status below 400.
   *
   * @throws IOException if no complete response arrives in time
   */
  static boolean isAccepted(InetSocketAddress address, String method, String path)
      throws IOException {
    return status(exchange(address, method, path)) < MIN_ERROR_STATUS;
  }

  /**
   * Returns the body of a successful response.
   *
   * @throws IOException if no response arrives in time, or its status is an error
   */
  static String fetchText(InetSocketAddress address, String path) throws IOException {
    String response = exchange(address, "GET", path);
    int end = response.indexOf("\r\n\r\n");
    if (status(response) >= MIN_ERROR_STATUS || end < 0) {
      throw new IOException("the response to GET " + path + " is an error or incomplete");
    }
    return response.substring(end).strip();
  }

  private static int status(String response) throws IOException {
    if (!response.matches("(?s)HTTP/1\\.1 \\d{3}.*")) {
      throw new IOException("expected an HTTP/1.1 status line, found: " + response);
    }
    return Integer.parseInt(response.substring(9, 12));
  }

  /** Sends one request and returns the whole response, headers included. */
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

  /** Returns whether a connection to the address can be opened. */
  static boolean isListening(InetSocketAddress address) {
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MILLIS);
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
