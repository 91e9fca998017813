package brassbank.rehearsal;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client, or the front that sends PING: it sends lines and waits for the answers it expects. */
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

  /** Waits for a line that begins so; throws where another comes, or none in time. */
  void expectLine(String start) throws IOException {
    String line = in.readLine();
    if (line == null || !line.startsWith(start)) {
      throw new IOException("instead of " + start + " came " + line);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
