package brassbank.rehearsal;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A blocking client, or the front that sends PING: sends lines and checks the responses. */
final class StubClient implements AutoCloseable {
  private final Socket socket = new Socket();
  private final BufferedReader in;

  StubClient(InetSocketAddress proxy, int limitMillis) throws IOException {
    try {
      socket.connect(proxy, limitMillis);
      socket.setSoTimeout(limitMillis);
      in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  /**
   * Waits for a line with the given prefix.
   *
   * @throws IOException if another line arrives, or none in time
   */
  void expectLine(String prefix) throws IOException {
    String line = in.readLine();
    if (line == null || !line.startsWith(prefix)) {
      throw new IOException("expected a line that starts with " + prefix + ", received " + line);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
