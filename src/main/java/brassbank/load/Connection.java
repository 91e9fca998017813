package brassbank.load;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** A non-blocking connection of the load tool, confined to the thread of its reactor. */
final class Connection {
  /** Receives the events of a connection, on the reactor's thread. */
  interface Handler {
    default void connected(Connection connection) {}

    /** Called with received bytes; bytes that the handler leaves in the buffer are discarded. */
    void received(Connection connection, ByteBuffer bytes);

    /**
     * Called when all pending output has been written, or when the socket accepts more output after
     * {@link Connection#requestWritable}.
     */
    default void writable(Connection connection) {}

    /**
     * Called once when the connection ends, but not after {@link Connection#close}.
     *
     * @param cause the failure, or null if the peer has closed its sending direction
     */
    void disconnected(Connection connection, IOException cause);
  }

  private final Reactor reactor;
  private final SocketChannel channel;
  private SelectionKey key;
  private Handler handler;
  private ByteBuffer pendingOutput;
  private boolean isWritableRequested;
  private boolean readPaused;
  private boolean closed;

  Connection(Reactor reactor, SocketChannel channel, Handler handler) {
    this.reactor = reactor;
    this.channel = channel;
    this.handler = handler;
  }

  Reactor reactor() {
    return reactor;
  }

  /** Sets the selection key and waits for the connection to be established. */
  void setKey(SelectionKey registered) {
    key = registered;
    key.interestOps(SelectionKey.OP_CONNECT);
  }

  void setHandler(Handler next) {
    handler = next;
  }

  boolean isOpen() {
    return !closed;
  }

  void connected() {
    updateInterestOps();
    handler.connected(this);
  }

  void handleReady() {
    try {
      if (!closed && key.isConnectable() && channel.finishConnect()) {
        connected();
      }
      if (!closed && key.isWritable()) {
        flush();
      }
      if (!closed && !readPaused && key.isValid() && key.isReadable()) {
        read(Integer.MAX_VALUE);
      }
    } catch (IOException e) {
      disconnect(e);
    }
  }

  private void flush() throws IOException {
    if (pendingOutput != null) {
      channel.write(pendingOutput);
      if (pendingOutput.hasRemaining()) {
        return;
      }
      pendingOutput = null;
    }
    isWritableRequested = false;
    handler.writable(this);
    updateInterestOps();
  }

  /** Reads at most {@code maxBytes} immediately, even if reading is paused. */
  void read(int maxBytes) throws IOException {
    ByteBuffer input = reactor.readBuffer();
    input.limit(Math.min(maxBytes, input.capacity()));
    int count = channel.read(input);
    if (count < 0) {
      disconnect(null);
    } else if (count > 0) {
      handler.received(this, input.flip());
    }
  }

  /** Like {@link #read}, for use in timers: does nothing when closed, and a failure disconnects. */
  void readNow(int maxBytes) {
    try {
      if (!closed) {
        read(maxBytes);
      }
    } catch (IOException e) {
      disconnect(e);
    }
  }

  void setReadPaused(boolean pause) {
    readPaused = pause;
    updateInterestOps();
  }

  /** Requests a call of {@link Handler#writable} when the socket accepts output. */
  void requestWritable() {
    isWritableRequested = true;
    updateInterestOps();
  }

  private void updateInterestOps() {
    if (!closed) {
      key.interestOps(
          (readPaused ? 0 : SelectionKey.OP_READ)
              | (isWritableRequested || pendingOutput != null ? SelectionKey.OP_WRITE : 0));
    }
  }

  /** Returns whether written bytes are still waiting for the socket to accept them. */
  boolean hasPendingOutput() {
    return pendingOutput != null;
  }

  /**
   * Writes as many bytes as the socket accepts.
   *
   * @return the number of bytes written; 0 if closed or if earlier output is pending
   */
  int tryWrite(ByteBuffer bytes) {
    if (closed || pendingOutput != null) {
      return 0;
    }
    try {
      return channel.write(bytes);
    } catch (IOException e) {
      disconnect(e);
      return 0;
    }
  }

  /** Writes all bytes; those that the socket does not accept now are copied and written later. */
  void write(ByteBuffer bytes) {
    tryWrite(bytes);
    if (!closed && bytes.hasRemaining()) {
      int pendingBytes = pendingOutput == null ? 0 : pendingOutput.remaining();
      ByteBuffer combined = ByteBuffer.allocate(pendingBytes + bytes.remaining());
      if (pendingOutput != null) {
        combined.put(pendingOutput);
      }
      pendingOutput = combined.put(bytes).flip();
      updateInterestOps();
    }
  }

  /** Writes a line followed by CR LF. */
  void writeLine(String line) {
    write(ByteBuffer.wrap((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1)));
  }

  /** Closes the connection without notifying the handler. */
  void close() {
    if (!closed) {
      closed = true;
      key.cancel();
      try {
        channel.close();
      } catch (IOException e) {
        // The descriptor is released even if close fails.
      }
    }
  }

  /** Closes the connection by a reset (RST), without notifying the handler. */
  void reset() {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException e) {
      // The channel is closed already, so there is nothing to reset.
    }
    close();
  }

  private void disconnect(IOException cause) {
    if (!closed) {
      close();
      handler.disconnected(this, cause);
    }
  }
}
