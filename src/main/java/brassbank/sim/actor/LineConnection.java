package brassbank.sim.actor;

import brassbank.sim.net.Endpoint;
import brassbank.sim.net.ResetException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An actor's side of a connection: splits received bytes into lines, and buffers lines to send
 * until the peer's window accepts them. Shares no code with the proxy's line reader, so that an
 * error in that reader cannot hide itself.
 */
final class LineConnection implements Endpoint.Handler {
  private static final int READ_SIZE = 4 * 1024;

  /** Receives the lines of a connection. */
  interface Listener {
    /** Receives a complete line, without its line terminator. */
    void onLine(String line);

    /**
     * Reports, once, that the peer has closed its sending direction or that the connection was
     * reset.
     */
    void onEnd(boolean reset);
  }

  private final Endpoint endpoint;
  private final Listener listener;
  private final StringBuilder partial = new StringBuilder();
  private byte[] pending = new byte[256];
  private int pendingStart;
  private int pendingEnd;
  private boolean finishing;
  private boolean closing;
  private boolean closed;
  private boolean endReported;

  LineConnection(Endpoint endpoint, Listener taker) {
    this.endpoint = endpoint;
    this.listener = taker;
    endpoint.handler(this);
  }

  Endpoint endpoint() {
    return endpoint;
  }

  /** Returns whether this side has closed the connection. */
  boolean isClosed() {
    return closed;
  }

  void reading(boolean on) {
    endpoint.reading(on);
  }

  @Override
  public void readable() {
    byte[] bytes = endpoint.lastRead();
    int count;
    try {
      count = endpoint.read(READ_SIZE);
    } catch (ResetException e) {
      reportEnd(true);
      return;
    }
    if (count < 0) {
      reportEnd(false);
      return;
    }
    int start = 0;
    for (int i = 0; i < count && !closed && !endReported; i++) {
      if (bytes[i] == '\n') {
        partial.append(new String(bytes, start, i - start, StandardCharsets.ISO_8859_1));
        start = i + 1;
        int length = partial.length();
        boolean crlf = length > 0 && partial.charAt(length - 1) == '\r';
        String line = partial.substring(0, crlf ? length - 1 : length);
        partial.setLength(0);
        listener.onLine(line);
      }
    }
    partial.append(new String(bytes, start, count - start, StandardCharsets.ISO_8859_1));
  }

  private void reportEnd(boolean reset) {
    endpoint.reading(false);
    if (!endReported && !closed) {
      endReported = true;
      listener.onEnd(reset);
    }
  }

  /** Returns the number of bytes received after the last complete line. */
  int unterminatedBytes() {
    return partial.length();
  }

  void send(String line) {
    sendBytes((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  void sendBytes(byte[] bytes) {
    if (closed || finishing || closing) {
      return;
    }
    if (pending.length - pendingEnd < bytes.length) {
      System.arraycopy(pending, pendingStart, pending, 0, pendingEnd - pendingStart);
      pendingEnd -= pendingStart;
      pendingStart = 0;
      pending = Arrays.copyOf(pending, Math.max(pending.length, 2 * (pendingEnd + bytes.length)));
    }
    System.arraycopy(bytes, 0, pending, pendingEnd, bytes.length);
    pendingEnd += bytes.length;
    writable();
  }

  /** Returns the number of bytes that the network has not accepted yet. */
  int unwritten() {
    return pendingEnd - pendingStart;
  }

  @Override
  public void writable() {
    try {
      pendingStart += unwritten() == 0 ? 0 : endpoint.write(pending, pendingStart, unwritten());
      endpoint.writing(unwritten() > 0);
      if (unwritten() == 0) {
        if (closing) {
          closed = true;
          endpoint.close();
        } else if (finishing) {
          endpoint.shutdownOutput();
        }
      }
    } catch (ResetException e) {
      pendingStart = pendingEnd;
      endpoint.writing(false);
      if (closing) {
        closed = true;
        endpoint.close();
      }
      // The next read reports the reset.
    }
  }

  /** Closes the sending direction after all pending bytes. */
  void finish() {
    if (!finishing && !closing && !closed) {
      finishing = true;
      writable();
    }
  }

  /** Closes the connection after all pending bytes. */
  void close() {
    if (!closing && !closed) {
      closing = true;
      writable();
    }
  }

  void reset() {
    if (!closed) {
      closed = true;
      endpoint.reset();
    }
  }
}
