package brassbank.net;

import brassbank.log.Log;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * One connection of lines: its socket, its buffer, and its owner, who is told what comes. The
 * socket is given back in {@link #release}, and nowhere else.
 */
public final class Link {
  private static final Log LOG = Log.of("link");

  /** The longest line that the protocol allows. */
  public static final int LONGEST_LINE = 4 * 1024;

  /** What may wait for a peer that reads slowly, before the other side is no longer read. */
  private static final int MOST_WAITING = 16 * 1024;

  /**
   * How long a closed link still takes what the peer sends, so that no reset eats our last line.
   */
  private static final long LINGER_MICROS = 1_000_000;

  /** Who is told of a link's lines and of its end. */
  public interface Owner {
    /** Bytes have come into the link's buffer. */
    void received(Link link);

    /** The peer has ended the link; not called after {@link #close} or {@link #reset}. */
    void ended(Link link, boolean reset);
  }

  private enum State {
    OPEN,
    CLOSING,
    CLOSED
  }

  private final Net net;
  private final NIOConnection connection;
  private final LineBuffer buffer = new LineBuffer(LONGEST_LINE);
  private Owner owner;
  private State state = State.OPEN;
  private boolean paused;
  private Loop.Timer linger;

  Link(Net net, NIOConnection connection, Owner owner) {
    this.net = net;
    this.connection = connection;
    this.owner = owner;
    connection.setMaxAsyncWriteQueueSize(MOST_WAITING);
  }

  public LineBuffer buffer() {
    return buffer;
  }

  public void owner(Owner owner) {
    this.owner = owner;
  }

  public boolean isOpen() {
    return state == State.OPEN;
  }

  boolean isClosing() {
    return state == State.CLOSING;
  }

  public void send(String line) {
    send((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1), null);
  }

  /** Writes the bytes; {@code written} runs once the last of them is with the kernel. */
  public void send(byte[] bytes, Runnable written) {
    if (state != State.OPEN || bytes.length == 0) {
      return;
    }
    Buffer message = Buffers.wrap(connection.getMemoryManager(), bytes);
    connection.write(
        message,
        new EmptyCompletionHandler<WriteResult<Buffer, java.net.SocketAddress>>() {
          @Override
          public void completed(WriteResult<Buffer, java.net.SocketAddress> result) {
            if (written != null) {
              written.run();
            }
          }

          @Override
          public void failed(Throwable cause) {
            end(true);
          }
        });
  }

  public boolean writable() {
    return connection.canWrite();
  }

  /** Calls back once the peer has read enough for more to be written. */
  public void whenWritable(Runnable task) {
    connection.notifyCanWrite(
        new WriteHandler() {
          @Override
          public void onWritePossible() {
            task.run();
          }

          @Override
          public void onError(Throwable cause) {
            // The link's end is told through its owner.
          }
        });
  }

  /** Stops reading, so that TCP holds the peer back. */
  public void pause() {
    if (state == State.OPEN && !paused) {
      paused = true;
      interest(false);
    }
  }

  public void resume() {
    if (paused) {
      paused = false;
      interest(true);
    }
  }

  private void interest(boolean read) {
    try {
      if (read) {
        connection.enableIOEvent(IOEvent.READ);
      } else {
        connection.disableIOEvent(IOEvent.READ);
      }
    } catch (IOException e) {
      end(true);
    }
  }

  /** Ends the link after all that was sent: the peer sees the end of the stream. */
  public void close() {
    if (state != State.OPEN) {
      return;
    }
    state = State.CLOSING;
    linger = net.loop().after(LINGER_MICROS, this::release);
    if (paused) {
      resume();
    }
    connection.write(
        Buffers.EMPTY_BUFFER,
        new EmptyCompletionHandler<WriteResult<Buffer, java.net.SocketAddress>>() {
          @Override
          public void completed(WriteResult<Buffer, java.net.SocketAddress> result) {
            endSending();
          }

          @Override
          public void failed(Throwable cause) {
            release();
          }
        });
  }

  /** Ends the link with a last line and without waiting for the peer, so that its room is free. */
  public void drop(String line) {
    send(line);
    release();
  }

  private void endSending() {
    try {
      channel().shutdownOutput();
    } catch (IOException e) {
      release();
    }
  }

  /** Ends the link at once; the peer sees a reset. */
  public void reset() {
    if (state == State.CLOSED) {
      return;
    }
    try {
      channel().setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException | UnsupportedOperationException e) {
      LOG.info("a connection was closed before it could be reset: " + e.getMessage());
    }
    release();
  }

  /** The one place where the socket is given back. */
  void release() {
    if (state != State.CLOSED) {
      state = State.CLOSED;
      if (linger != null) {
        linger.cancel();
      }
      connection.terminateSilently();
      net.released(this);
    }
  }

  private SocketChannel channel() {
    return (SocketChannel) connection.getChannel();
  }

  /** Reads what there is into the buffer; called by the chain. */
  void read() {
    int count;
    try {
      count = channel().read(buffer.space());
    } catch (IOException e) {
      end(true);
      return;
    }
    if (count < 0) {
      end(false);
    } else if (count > 0) {
      buffer.filled(count);
      if (state == State.OPEN) {
        owner.received(this);
      } else {
        buffer.discard();
      }
    }
  }

  /** The peer's end, seen by a read, a write or the chain. */
  void end(boolean reset) {
    boolean told = state == State.OPEN;
    release();
    if (told) {
      owner.ended(this, reset);
    }
  }

  static Link of(Connection<?> connection) {
    return Net.LINK.get(connection);
  }
}
