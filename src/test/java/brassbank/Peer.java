package brassbank;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One end of a connection, as a client or a target has it; every wait has a limit. */
final class Peer implements AutoCloseable {
  static final int LIMIT_MILLIS = 10_000;

  final Socket socket;

  /** The first line that came, where the peer is a target's. */
  String first;

  Peer(Socket socket) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(LIMIT_MILLIS);
    socket.setTcpNoDelay(true);
  }

  static Peer to(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(32 * 1024);
    socket.connect(address, LIMIT_MILLIS);
    return new Peer(socket);
  }

  Peer send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return this;
  }

  /** The next line without its end; null once the stream has ended, "RESET" where it broke. */
  String line() throws IOException {
    StringBuilder line = new StringBuilder();
    InputStream in = socket.getInputStream();
    try {
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          return line.isEmpty() ? null : line.toString();
        }
        line.append((char) c);
      }
    } catch (java.net.SocketException e) {
      return "RESET";
    }
    return line.toString().replaceAll("\r$", "");
  }

  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
