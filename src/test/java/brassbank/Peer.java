package brassbank;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One side of a connection, used as a client or a target. Every wait has a time limit. */
final class Peer implements AutoCloseable {
  static final int LIMIT_MILLIS = 10_000;

  final Socket socket;

  /** The first line that was received, if this is the side of a target. */
  String openingLine;

  Peer(Socket socket) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(LIMIT_MILLIS);
    socket.setTcpNoDelay(true);
  }

  /** Connects to the address. */
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

  /**
   * Returns the next line without its line end, null at the end of the stream, or "RESET" if the
   * connection is reset.
   */
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

  /** Closes the connection with a reset. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
