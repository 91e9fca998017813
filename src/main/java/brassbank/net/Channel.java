package brassbank.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A non-blocking TCP connection. It holds one file descriptor from its creation to {@link #close}
 * or {@link #reset}. All methods are for the event loop's thread only.
 */
public interface Channel {
  /**
   * Receives the events of a channel. Each is delivered by the event loop, never from within a call
   * of a channel method. No event is delivered after {@link Channel#close} or {@link
   * Channel#reset}, and none while its interest is off: a reset that arrives meanwhile is reported
   * once an interest is on again.
   */
  interface Handler {
    /**
     * Called once per loop iteration while reading is on and a read would return bytes, the end of
     * the stream or an error.
     */
    void readable();

    /**
     * Called once per loop iteration while writing is on and a write would accept a byte or fail.
     */
    void writable();

    /** Reports that the connection failed, without an action of the handler; no event follows. */
    void broken();
  }

  /**
   * Sets the receiver of the channel's events. Code that receives a new channel must call this
   * before it returns to the event loop.
   */
  void handler(Handler handler);

  /**
   * Reads the available bytes, as far as the buffer has space; never blocks.
   *
   * @return the number of bytes read, 0 where none is available, -1 at end of stream
   * @throws IOException if the connection was reset or failed otherwise
   */
  int read(ByteBuffer into) throws IOException;

  /**
   * Writes as many bytes as the kernel accepts and leaves the rest in the buffer; never blocks.
   *
   * @return the number of bytes written, 0 where the kernel's send buffer is full
   * @throws IOException if the connection has failed; after a reset or close by the peer, one more
   *     write may succeed first
   */
  int write(ByteBuffer from) throws IOException;

  /** Sets whether {@link Handler#readable} is called; initially it is. */
  void reading(boolean on);

  /** Sets whether {@link Handler#writable} is called; initially it is not. */
  void writing(boolean on);

  /**
   * Sets the size of the kernel's send buffer in bytes ({@code SO_SNDBUF}). Without this call the
   * kernel chooses the size. An implementation without such a buffer ignores the call.
   */
  default void sendBuffer(int bytes) {}

  /**
   * Shuts down the sending direction after all written bytes; the peer's bytes can still be read.
   *
   * @throws IOException if the connection has failed
   */
  void shutdownOutput() throws IOException;

  /**
   * Closes the connection and frees its descriptor. Written bytes are still sent, unless received
   * bytes were left unread: then the peer sees a reset, as TCP prescribes. A second call does
   * nothing.
   */
  void close();

  /**
   * Resets the connection and frees its descriptor at once; bytes in transit to the peer may be
   * lost.
   */
  void reset();
}
