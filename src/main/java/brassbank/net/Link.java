package brassbank.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One connection: its socket, its buffer, and who is told what comes. At first that is an {@link
 * LineHandler}, who takes lines out of the link's {@link #buffer}; once the connection stands it is
 * a {@link StreamHandler}, which takes the bytes as they come. The socket is given back in {@link
 * #release}, and nowhere else.
 *
 * <p>A link has one buffer at a time: that of its lines, or later that of what waits for its peer,
 * which it holds only while something does.
 */
public final class Link {
  /** The longest line that the protocol allows. */
  public static final int MAX_LINE_BYTES = 4 * 1024;

  /** How long a link lives whose one direction has ended, so that no reset eats the last lines. */
  private static final long LINGER_MICROS = 1_000_000;

  /** How much is thrown away of what a peer sends after its last answer. */
  private static final long MAX_DISCARDED_BYTES = 128L << 20;

  /** How long at most it is read after its last answer, and how long a quiet peer has gone. */
  private static final long REJECTED_LINGER_MICROS = 5_000_000;

  private static final long QUIET_PERIOD_MICROS = 250_000;

  /** Who is told of a link's lines and of its end. */
  public interface LineHandler {
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
  public interface StreamHandler {
    /** How many bytes may be read now; 1 or more. */
    int readQuota(Link link);

    /**
     * Bytes have come. They stand in a buffer that all links share: whoever wants them later has
     * taken them before it returns.
     */
    void received(Link link, ByteBuffer bytes);

    /** So many of the bytes that were sent wait for the peer to read. */
    void queued(Link link, int bytes);

    /** The peer has taken so many of the bytes that waited. */
    void drained(Link link, int bytes);

    /** As {@link LineHandler#ended}. */
    void ended(Link link, boolean reset);

    /** The link's memory and its descriptor are free; told once, after all else. */
    void released(Link link);
  }

  private final Net net;
  private final Channel channel;
  private final SendQueue outbox;

  /** Until the link is a stream. */
  private LineBuffer buffer = new LineBuffer(MAX_LINE_BYTES);

  private LineHandler handler;
  private StreamHandler startStreaming;
  private boolean paused;
  private long lingerMicros = LINGER_MICROS;

  /** Nobody hears of what comes any longer: the link was closed, or its end was told. */
  private boolean notificationsOff;

  private boolean inputEnded;
  private boolean outputEnding;
  private boolean outputShut;
  private boolean released;
  private long discarded;
  private EventLoop.Timer lingerTimer;

  /** The channel tells when it takes more. */
  private boolean writing;

  Link(Net net, Channel channel, LineHandler owner) {
    this.net = net;
    this.channel = channel;
    this.handler = owner;
    outbox = new SendQueue(net.buffers());
    channel.handler(
        new Channel.Handler() {
          @Override
          public void readable() {
            try {
              read();
            } catch (RuntimeException e) {
              EventLoop.logFailure(e);
            }
          }

          @Override
          public void writable() {
            try {
              write();
            } catch (RuntimeException e) {
              EventLoop.logFailure(e);
            }
          }

          @Override
          public void broken() {
            try {
              connectionBroken();
            } catch (RuntimeException e) {
              EventLoop.logFailure(e);
            }
          }
        });
  }

  /** What has come and was not taken yet; null once the link is a stream. */
  public LineBuffer buffer() {
    return buffer;
  }

  public void handler(LineHandler next) {
    handler = next;
  }

  /**
   * Hands all that comes from here on to the stream, as it comes.
   *
   * @return what has come already and is in no line that was taken
   */
  public ByteBuffer startStreaming(StreamHandler next) {
    startStreaming = next;
    ByteBuffer rest = buffer.unread();
    buffer = null;
    handler = null;
    if (!outbox.isEmpty()) {
      startStreaming.queued(this, outbox.size());
    }
    if (released) {
      startStreaming.released(this);
    }
    return rest;
  }

  public boolean isOpen() {
    return !inputEnded && !outputEnding && !released;
  }

  boolean isClosing() {
    return (inputEnded || outputEnding) && !released;
  }

  public void send(String line) {
    send((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1), null);
  }

  /** Writes the bytes; {@code written} runs once the last of them is with the kernel. */
  public void send(byte[] bytes, Runnable written) {
    if (outputEnding || released || bytes.length == 0) {
      return;
    }
    send(ByteBuffer.wrap(bytes));
    if (!released && written != null) {
      outbox.whenWritten(written);
      outbox.runWrittenCallbacks();
    }
  }

  /**
   * Writes the bytes: at once as far as the kernel takes them; the rest is kept, and follows as the
   * peer reads. None of them is left in the buffer.
   */
  public void send(ByteBuffer bytes) {
    if (outputEnding || released) {
      bytes.position(bytes.limit());
      return;
    }
    if (outbox.isEmpty()) {
      try {
        channel.write(bytes);
      } catch (IOException e) {
        bytes.position(bytes.limit());
        connectionBroken();
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
      if (startStreaming != null) {
        startStreaming.queued(this, rest);
      }
    }
  }

  /** The channel takes more. */
  private void write() {
    int count;
    try {
      count = outbox.writeTo(channel);
    } catch (IOException e) {
      connectionBroken();
      return;
    }
    if (outbox.isEmpty()) {
      writing = false;
      channel.writing(false);
    }
    if (startStreaming != null && count > 0) {
      startStreaming.drained(this, count);
    }
    if (!released) {
      outbox.runWrittenCallbacks();
    }
  }

  /** Bounds what the kernel keeps for the peer, in bytes, see {@link Channel#sendBuffer}. */
  public void sendBuffer(int bytes) {
    if (!released) {
      channel.sendBuffer(bytes);
    }
  }

  /** How many bytes wait for the peer to read, beside what the kernel keeps. */
  public int queuedBytes() {
    return outbox.size();
  }

  /** Stops reading, so that TCP holds the peer back. */
  public void pause() {
    if (!inputEnded && !released && !paused) {
      paused = true;
      channel.reading(false);
    }
  }

  public void resume() {
    if (paused) {
      paused = false;
      if (!inputEnded && !released) {
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
    notificationsOff = true;
    resume();
    shutdownOutput();
  }

  /**
   * Ends the link with a last line. A peer that is still sending is read for a while, until it has
   * been quiet: a close with bytes unread would send a reset, which can overtake the line.
   */
  public void reject(String line) {
    send(line);
    lingerMicros = REJECTED_LINGER_MICROS;
    close();
    awaitQuiet(0);
  }

  private void awaitQuiet(long seen) {
    net.loop()
        .schedule(
            QUIET_PERIOD_MICROS,
            () -> {
              if (discarded == seen || net.isAtCapacity()) {
                release();
              } else {
                awaitQuiet(discarded);
              }
            });
  }

  /** Ends our sending after all that was sent; what the peer sends is still told. */
  public void shutdownOutput() {
    if (outputEnding || released) {
      return;
    }
    outputEnding = true;
    startLinger();
    outbox.whenWritten(this::shutdownChannelOutput);
    outbox.runWrittenCallbacks();
  }

  /** Ends the link with a last line and without waiting for the peer, so that its room is free. */
  public void closeNow(String line) {
    send(line);
    release();
  }

  private void startLinger() {
    if (lingerTimer == null) {
      // What still waits then is lost: the peer must not take the end for a proper one.
      lingerTimer = net.loop().schedule(lingerMicros, () -> release(!outbox.isEmpty()));
    }
  }

  private void shutdownChannelOutput() {
    try {
      channel.shutdownOutput();
      outputShut = true;
      if (inputEnded) {
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
    notificationsOff = true;
    release(true);
  }

  void release() {
    release(false);
  }

  /** The one place where the socket is given back. */
  private void release(boolean abruptly) {
    if (!released) {
      released = true;
      if (lingerTimer != null) {
        lingerTimer.cancel();
      }
      if (abruptly) {
        channel.reset();
      } else {
        channel.close();
      }
      outbox.clear();
      net.released(this);
      if (startStreaming != null) {
        startStreaming.released(this);
      }
    }
  }

  /** Reads now what has come already, without waiting to be told of it. */
  public void readNow() {
    if (!inputEnded && !released) {
      read();
    }
  }

  /** Reads what there is, as much as may be at once. */
  private void read() {
    ByteBuffer into;
    if (notificationsOff) {
      into = net.buffers().discarded();
    } else if (startStreaming != null) {
      into = net.buffers().input();
      into.limit(Math.min(into.capacity(), startStreaming.readQuota(this)));
    } else {
      into = buffer.space();
    }
    int count;
    try {
      count = channel.read(into);
    } catch (IOException e) {
      connectionBroken();
      return;
    }
    if (count < 0) {
      inputEnded();
    } else if (count > 0) {
      took(into, count);
    }
  }

  private void took(ByteBuffer bytes, int count) {
    if (notificationsOff) {
      discarded += count;
      if (discarded > MAX_DISCARDED_BYTES) {
        release();
      }
    } else if (startStreaming != null) {
      startStreaming.received(this, bytes.flip());
    } else {
      buffer.advance(count);
      handler.received(this);
    }
  }

  private void inputEnded() {
    inputEnded = true;
    if (outputShut) {
      release();
    } else {
      channel.reading(false);
      startLinger();
    }
    notifyEnded(false);
  }

  /** The link is broken, as seen by a read, a write or the channel. */
  private void connectionBroken() {
    if (!released) {
      release();
      notifyEnded(true);
    }
  }

  private void notifyEnded(boolean reset) {
    if (!notificationsOff) {
      notificationsOff = true;
      if (startStreaming != null) {
        startStreaming.ended(this, reset);
      } else {
        handler.ended(this, reset);
      }
    }
  }
}
