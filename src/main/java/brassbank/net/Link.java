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

  /** How long a link lives whose one direction has ended, so that no reset eats the last lines. */
  private static final long LINGER_MICROS = 1_000_000;

  /** How much is thrown away of what a peer sends after its last answer. */
  private static final long MOST_DISCARDED = 128L << 20;

  /** How long at most it is read after its last answer, and how long a quiet peer has gone. */
  private static final long TURNED_AWAY_MICROS = 5_000_000;

  private static final long QUIET_MICROS = 250_000;

  /** Who is told of a link's lines and of its end. */
  public interface Owner {
    /** Bytes have come into the link's buffer. */
    void received(Link link);

    /**
     * The peer has ended its sending, or the link was reset. Told once, and not after {@link
     * #close} or {@link #reset}; after an end that was no reset, the owner may still send, and must
     * close.
     */
    void ended(Link link, boolean reset);
  }

  private final Net net;
  private final NIOConnection connection;
  private final LineBuffer buffer = new LineBuffer(LONGEST_LINE);
  private Owner owner;
  private boolean paused;
  private long lingerMicros = LINGER_MICROS;

  /** The owner hears nothing any longer: it has closed the link, or was told of its end. */
  private boolean deaf;

  private boolean inputOver;
  private boolean outputOver;
  private boolean outputShut;
  private boolean released;
  private long discarded;
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
    return !inputOver && !outputOver && !released;
  }

  boolean isClosing() {
    return (inputOver || outputOver) && !released;
  }

  public void send(String line) {
    send((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1), null);
  }

  /** Writes the bytes; {@code written} runs once the last of them is with the kernel. */
  public void send(byte[] bytes, Runnable written) {
    if (outputOver || released || bytes.length == 0) {
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
            broken();
          }
        });
  }

  /** False while too much waits for a peer that reads slowly. */
  public boolean writable() {
    return outputOver || released || connection.canWrite();
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
    if (!inputOver && !released && !paused) {
      paused = true;
      interest(false);
    }
  }

  public void resume() {
    if (paused) {
      paused = false;
      if (!inputOver && !released) {
        interest(true);
      }
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
      broken();
    }
  }

  /** Ends the link after all that was sent; what still comes is thrown away. */
  public void close() {
    deaf = true;
    resume();
    finish();
  }

  /**
   * Ends the link with a last line. A peer that is still sending is read for a while, until it has
   * been quiet: a close with bytes unread would send a reset, which can overtake the line.
   */
  public void turnAway(String line) {
    send(line);
    lingerMicros = TURNED_AWAY_MICROS;
    close();
    awaitQuiet(0);
  }

  private void awaitQuiet(long seen) {
    net.loop()
        .after(
            QUIET_MICROS,
            () -> {
              if (discarded == seen || net.full()) {
                release();
              } else {
                awaitQuiet(discarded);
              }
            });
  }

  /** Ends our sending after all that was sent; what the peer sends is still told. */
  public void finish() {
    if (outputOver || released) {
      return;
    }
    outputOver = true;
    startLinger();
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

  private void startLinger() {
    if (linger == null) {
      linger = net.loop().after(lingerMicros, this::release);
    }
  }

  private void endSending() {
    try {
      channel().shutdownOutput();
      outputShut = true;
      if (inputOver) {
        release();
      }
    } catch (IOException e) {
      release();
    }
  }

  /** Ends the link at once; the peer sees a reset. */
  public void reset() {
    if (released) {
      return;
    }
    deaf = true;
    try {
      channel().setOption(StandardSocketOptions.SO_LINGER, 0);
    } catch (IOException | UnsupportedOperationException e) {
      LOG.info("a connection was closed before it could be reset: " + e.getMessage());
    }
    release();
  }

  /** The one place where the socket is given back. */
  void release() {
    if (!released) {
      released = true;
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
      count = channel().read(deaf ? net.discarded() : buffer.space());
    } catch (IOException e) {
      broken();
      return;
    }
    if (count < 0) {
      inputEnded();
    } else if (count > 0) {
      if (!deaf) {
        buffer.filled(count);
        owner.received(this);
      } else {
        discarded += count;
        if (discarded > MOST_DISCARDED) {
          release();
        }
      }
    }
  }

  private void inputEnded() {
    inputOver = true;
    if (outputShut) {
      release();
    } else {
      interest(false);
      startLinger();
    }
    tell(false);
  }

  /**
   * The link is broken, as seen by a read, a write or the chain, which sees our own release too.
   */
  void broken() {
    if (!released) {
      release();
      tell(true);
    }
  }

  private void tell(boolean reset) {
    if (!deaf) {
      deaf = true;
      owner.ended(this, reset);
    }
  }

  static Link of(Connection<?> connection) {
    return Net.LINK.get(connection);
  }
}
