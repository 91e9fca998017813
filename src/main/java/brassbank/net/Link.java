package brassbank.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One connection: its socket, its buffer, and who is told what comes. At first that is an {@link
 * Owner}, who takes lines out of the link's {@link #buffer}; once the connection stands it is a
 * {@link Stream}, which takes the bytes as they come. The socket is given back in {@link #release},
 * and nowhere else.
 *
 * <p>A link has one buffer at a time: that of its lines, or later that of what waits for its peer,
 * which it holds only while something does.
 */
public final class Link {
  /** The longest line that the protocol allows. */
  public static final int LONGEST_LINE = 4 * 1024;

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

  /** Who is told of a link's bytes, and of its end. */
  public interface Stream {
    /** How many bytes may be read now; 1 or more. */
    int room(Link link);

    /**
     * Bytes have come. They stand in a buffer that all links share: whoever wants them later has
     * taken them before it returns.
     */
    void came(Link link, ByteBuffer bytes);

    /** So many of the bytes that were sent wait for the peer to read. */
    void waits(Link link, int bytes);

    /** The peer has taken so many of the bytes that waited. */
    void took(Link link, int bytes);

    /** As {@link Owner#ended}. */
    void ended(Link link, boolean reset);

    /** The link's memory and its descriptor are free; told once, after all else. */
    void released(Link link);
  }

  private final Net net;
  private final Channel channel;
  private final Outbox outbox;

  /** Until the link is a stream. */
  private LineBuffer buffer = new LineBuffer(LONGEST_LINE);

  private Owner owner;
  private Stream stream;
  private boolean paused;
  private long lingerMicros = LINGER_MICROS;

  /** Nobody hears of what comes any longer: the link was closed, or its end was told. */
  private boolean deaf;

  private boolean inputOver;
  private boolean outputOver;
  private boolean outputShut;
  private boolean released;
  private long discarded;
  private Loop.Timer linger;

  /** The channel tells when it takes more. */
  private boolean writing;

  Link(Net net, Channel channel, Owner owner) {
    this.net = net;
    this.channel = channel;
    this.owner = owner;
    outbox = new Outbox(net.buffers());
    channel.handler(
        new Channel.Handler() {
          @Override
          public void readable() {
            try {
              read();
            } catch (RuntimeException e) {
              Loop.failed(e);
            }
          }

          @Override
          public void writable() {
            try {
              write();
            } catch (RuntimeException e) {
              Loop.failed(e);
            }
          }

          @Override
          public void broken() {
            try {
              broke();
            } catch (RuntimeException e) {
              Loop.failed(e);
            }
          }
        });
  }

  /** What has come and was not taken yet; null once the link is a stream. */
  public LineBuffer buffer() {
    return buffer;
  }

  public void owner(Owner next) {
    owner = next;
  }

  /**
   * Hands all that comes from here on to the stream, as it comes.
   *
   * @return what has come already and is in no line that was taken
   */
  public ByteBuffer stream(Stream next) {
    stream = next;
    ByteBuffer rest = buffer.rest();
    buffer = null;
    owner = null;
    if (!outbox.isEmpty()) {
      stream.waits(this, outbox.size());
    }
    if (released) {
      stream.released(this);
    }
    return rest;
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
    send(ByteBuffer.wrap(bytes));
    if (!released && written != null) {
      outbox.whenTaken(written);
      outbox.runTaken();
    }
  }

  /**
   * Writes the bytes: at once as far as the kernel takes them; the rest is kept, and follows as the
   * peer reads. None of them is left in the buffer.
   */
  public void send(ByteBuffer bytes) {
    if (outputOver || released) {
      bytes.position(bytes.limit());
      return;
    }
    if (outbox.isEmpty()) {
      try {
        channel.write(bytes);
      } catch (IOException e) {
        bytes.position(bytes.limit());
        broke();
        return;
      }
    }
    int rest = bytes.remaining();
    if (rest > 0) {
      outbox.add(bytes);
      if (!writing) {
        writing = true;
        channel.writing(true);
      }
      if (stream != null) {
        stream.waits(this, rest);
      }
    }
  }

  /** The channel takes more. */
  private void write() {
    int count;
    try {
      count = outbox.writeTo(channel);
    } catch (IOException e) {
      broke();
      return;
    }
    if (outbox.isEmpty()) {
      writing = false;
      channel.writing(false);
    }
    if (stream != null && count > 0) {
      stream.took(this, count);
    }
    if (!released) {
      outbox.runTaken();
    }
  }

  /** Bounds what the kernel keeps for the peer, in bytes, see {@link Channel#sendBuffer}. */
  public void sendBuffer(int bytes) {
    if (!released) {
      channel.sendBuffer(bytes);
    }
  }

  /** How many bytes wait for the peer to read, beside what the kernel keeps. */
  public int waiting() {
    return outbox.size();
  }

  /** Stops reading, so that TCP holds the peer back. */
  public void pause() {
    if (!inputOver && !released && !paused) {
      paused = true;
      channel.reading(false);
    }
  }

  public void resume() {
    if (paused) {
      paused = false;
      if (!inputOver && !released) {
        channel.reading(true);
      }
    }
  }

  /**
   * Ends the link after all that was sent, as {@link #close()}, and by a reset if that has not gone
   * in time.
   */
  public void close(long limitMicros) {
    lingerMicros = limitMicros;
    close();
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
    outbox.whenTaken(this::endSending);
    outbox.runTaken();
  }

  /** Ends the link with a last line and without waiting for the peer, so that its room is free. */
  public void drop(String line) {
    send(line);
    release();
  }

  private void startLinger() {
    if (linger == null) {
      // What still waits then is lost: the peer must not take the end for a proper one.
      linger = net.loop().after(lingerMicros, () -> release(!outbox.isEmpty()));
    }
  }

  private void endSending() {
    try {
      channel.shutdownOutput();
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
    release(true);
  }

  void release() {
    release(false);
  }

  /** The one place where the socket is given back. */
  private void release(boolean abruptly) {
    if (!released) {
      released = true;
      if (linger != null) {
        linger.cancel();
      }
      if (abruptly) {
        channel.reset();
      } else {
        channel.close();
      }
      outbox.clear();
      net.released(this);
      if (stream != null) {
        stream.released(this);
      }
    }
  }

  /** Reads now what has come already, without waiting to be told of it. */
  public void receive() {
    if (!inputOver && !released) {
      read();
    }
  }

  /** Reads what there is, as much as may be at once. */
  private void read() {
    ByteBuffer into;
    if (deaf) {
      into = net.buffers().discarded();
    } else if (stream != null) {
      into = net.buffers().input();
      into.limit(Math.min(into.capacity(), stream.room(this)));
    } else {
      into = buffer.space();
    }
    int count;
    try {
      count = channel.read(into);
    } catch (IOException e) {
      broke();
      return;
    }
    if (count < 0) {
      inputEnded();
    } else if (count > 0) {
      took(into, count);
    }
  }

  private void took(ByteBuffer bytes, int count) {
    if (deaf) {
      discarded += count;
      if (discarded > MOST_DISCARDED) {
        release();
      }
    } else if (stream != null) {
      stream.came(this, bytes.flip());
    } else {
      buffer.filled(count);
      owner.received(this);
    }
  }

  private void inputEnded() {
    inputOver = true;
    if (outputShut) {
      release();
    } else {
      channel.reading(false);
      startLinger();
    }
    tell(false);
  }

  /** The link is broken, as seen by a read, a write or the channel. */
  private void broke() {
    if (!released) {
      release();
      tell(true);
    }
  }

  private void tell(boolean reset) {
    if (!deaf) {
      deaf = true;
      if (stream != null) {
        stream.ended(this, reset);
      } else {
        owner.ended(this, reset);
      }
    }
  }
}
