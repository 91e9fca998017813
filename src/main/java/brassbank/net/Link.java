package brassbank.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One TCP connection of the proxy, with its socket and its buffer. At first its events go to a
 * {@link LineHandler}, which removes lines from the link's {@link #buffer}. Once a session is
 * established, {@link #startStreaming} hands the events to a {@link StreamHandler}, which receives
 * the bytes as they arrive. {@link #release} is the only place that closes the socket.
 *
 * <p>A link has one buffer at a time: the receive buffer for lines, or, once it is streaming, the
 * queue of bytes that the peer has not accepted, which it holds only while there are such bytes.
 *
 * <p>Not thread-safe: for the event loop's thread only.
 */
public final class Link {
  /** The longest line that the protocol allows, in bytes. */
  public static final int MAX_LINE_BYTES = 4 * 1024;

  /**
   * How long a link stays open after one direction has ended. Closing it earlier could make TCP
   * send a reset that destroys the last lines in transit.
   */
  private static final long LINGER_MICROS = 1_000_000;

  /** The most bytes that are read and discarded from a peer after the proxy's final line. */
  private static final long MAX_DISCARDED_BYTES = 128L << 20;

  /** The longest time for which a rejected peer is read after its final line. */
  private static final long REJECTED_LINGER_MICROS = 5_000_000;

  /** A rejected peer that sends nothing for this long is taken to have stopped sending. */
  private static final long QUIET_PERIOD_MICROS = 250_000;

  /** Receives the events of a link that is read line by line. */
  public interface LineHandler {
    /** Reports that bytes were appended to the link's buffer. */
    void received(Link link);

    /**
     * Reports that the peer has ended its stream, or that the connection was reset. Called at most
     * once, and not after {@link #close} or {@link #reset}. Unless it was a reset, the handler may
     * still send, and must close the link.
     */
    void ended(Link link, boolean reset);
  }

  /** Receives the events of a link that is read as a byte stream. */
  public interface StreamHandler {
    /** Returns the most bytes that may be read now; 1 or more. */
    int readQuota(Link link);

    /**
     * Reports received bytes. The buffer is shared by all links: its content is valid during the
     * call only. The {@link Link#MAX_LINE_BYTES} bytes before its position are free for the handler
     * to write to.
     */
    void received(Link link, ByteBuffer bytes);

    /** Reports that the kernel did not accept this many of the bytes sent, which are now queued. */
    void queued(Link link, int bytes);

    /** Reports that the kernel has accepted this many of the queued bytes. */
    void drained(Link link, int bytes);

    /** See {@link LineHandler#ended}. */
    void ended(Link link, boolean reset);

    /** Reports that the link's memory and descriptor are free; called once, as the last event. */
    void released(Link link);
  }

  private final Net net;
  private final Channel channel;
  private final SendQueue sendQueue;

  /** Null once the link is streaming. */
  private LineBuffer buffer = new LineBuffer(MAX_LINE_BYTES);

  private LineHandler handler;
  private StreamHandler streamHandler;
  private boolean paused;
  private long lingerMicros = LINGER_MICROS;

  /** How long the link may linger in addition while descriptors are not in demand. */
  private long extraLingerMicros;

  /** The link was closed, or its end was reported: no further events go to the handler. */
  private boolean notificationsOff;

  private boolean inputEnded;

  /** The sending direction ends once the queued bytes are written. */
  private boolean outputEnding;

  private boolean outputShut;

  /** The connection has failed, which the handler may not have been notified of yet. */
  private boolean broken;

  private boolean released;
  private long discardedBytes;
  private EventLoop.Timer lingerTimer;

  /** The channel reports when it accepts more bytes. */
  private boolean writing;

  Link(Net net, Channel channel, LineHandler handler) {
    this.net = net;
    this.channel = channel;
    this.handler = handler;
    sendQueue = new SendQueue(net.buffers());
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

  /** Returns the buffer of received lines; null once the link is streaming. */
  public LineBuffer buffer() {
    return buffer;
  }

  /** Sets the receiver of the link's events while it is read line by line. */
  public void handler(LineHandler next) {
    handler = next;
  }

  /**
   * Switches the link from lines to a byte stream, whose events go to the handler from here on.
   *
   * @return the bytes received so far that no returned line contained
   */
  public ByteBuffer startStreaming(StreamHandler next) {
    streamHandler = next;
    ByteBuffer unread = buffer.unread();
    buffer = null;
    handler = null;
    if (!sendQueue.isEmpty()) {
      streamHandler.queued(this, sendQueue.size());
    }
    if (released) {
      streamHandler.released(this);
    }
    return unread;
  }

  /** Returns whether neither direction has ended and the link was not closed. */
  public boolean isOpen() {
    return !inputEnded && !outputEnding && !released;
  }

  /**
   * Returns whether a direction has ended and the peer has not yet closed its side, or has not yet
   * been sent all that is queued for it.
   */
  public boolean isClosing() {
    return (inputEnded || outputEnding) && !released;
  }

  /** Returns whether the connection has failed, as by a reset of the peer. */
  public boolean isBroken() {
    return broken;
  }

  /** Sends a line; the line end is added. */
  public void send(String line) {
    send((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1), null);
  }

  /**
   * Sends the bytes.
   *
   * @param written runs once the kernel has accepted the last byte; may be null. It does not run if
   *     the link has ended or ends before
   */
  public void send(byte[] bytes, Runnable written) {
    if (outputEnding || released || bytes.length == 0) {
      return;
    }
    send(ByteBuffer.wrap(bytes));
    if (!released && written != null) {
      sendQueue.whenWritten(written);
      sendQueue.runWrittenCallbacks();
    }
  }

  /**
   * Sends the bytes: writes as many as the kernel accepts at once and queues the rest. The buffer
   * is always consumed, also on a link that has ended, which drops the bytes.
   */
  public void send(ByteBuffer bytes) {
    if (outputEnding || released) {
      bytes.position(bytes.limit());
      return;
    }
    if (sendQueue.isEmpty()) {
      try {
        channel.write(bytes);
      } catch (IOException e) {
        bytes.position(bytes.limit());
        connectionBroken();
        return;
      }
    }
    int remaining = bytes.remaining();
    if (remaining > 0) {
      sendQueue.add(bytes);
      if (!writing) {
        writing = true;
        channel.writing(true);
      }
      if (streamHandler != null) {
        streamHandler.queued(this, remaining);
      }
    }
  }

  /** Writes queued bytes; the channel accepts more. */
  private void write() {
    int count;
    try {
      count = sendQueue.writeTo(channel);
    } catch (IOException e) {
      connectionBroken();
      return;
    }
    if (sendQueue.isEmpty()) {
      writing = false;
      channel.writing(false);
    }
    if (streamHandler != null && count > 0) {
      streamHandler.drained(this, count);
    }
    if (!released) {
      sendQueue.runWrittenCallbacks();
    }
  }

  /** Sets the size of the kernel's send buffer in bytes; see {@link Channel#sendBuffer}. */
  public void sendBuffer(int bytes) {
    if (!released) {
      channel.sendBuffer(bytes);
    }
  }

  /** Returns the number of sent bytes that the kernel has not accepted yet. */
  public int queuedBytes() {
    return sendQueue.size();
  }

  /**
   * Discards the queued bytes behind the end of the first queued line, which may have been written
   * in part already, and returns how many they were. Frees the memory of a link that is about to be
   * closed.
   */
  public int discardQueuedLines() {
    return sendQueue.keepFirstLine();
  }

  /**
   * Stops reading, so that TCP flow control slows the peer down.
   *
   * @return whether the link was read until now
   */
  public boolean pause() {
    if (inputEnded || released || paused) {
      return false;
    }
    paused = true;
    channel.reading(false);
    return true;
  }

  /**
   * Reads again after {@link #pause}.
   *
   * @return whether the link was paused until now
   */
  public boolean resume() {
    if (!paused) {
      return false;
    }
    paused = false;
    if (!inputEnded && !released) {
      channel.reading(true);
    }
    return true;
  }

  /**
   * Closes the link as {@link #close()} does, with another time limit for the queued bytes, which
   * {@link #allowTimeToRead} does not extend. If they are not written within it, the link is reset.
   */
  public void close(long limitMicros) {
    lingerMicros = limitMicros;
    extraLingerMicros = 0;
    close();
  }

  /**
   * Gives a peer that reads slowly this long, 1 s at least, to read what is sent until the link is
   * closed, and to close its side. After 1 s the link stays open only while half of the descriptors
   * are free. To be called before the link is closed.
   */
  public void allowTimeToRead(long limitMicros) {
    extraLingerMicros = limitMicros - LINGER_MICROS;
  }

  /** Closes the link once all sent bytes are written; bytes that still arrive are discarded. */
  public void close() {
    notificationsOff = true;
    resume();
    shutdownOutput();
  }

  /**
   * Sends a final line and closes the link. A peer that is still sending is read until it pauses,
   * for a limited time: closing with unread bytes would send a reset, which can destroy the line
   * before the peer has read it.
   */
  public void reject(String line) {
    send(line);
    lingerMicros = REJECTED_LINGER_MICROS;
    close();
    awaitQuiet(0);
  }

  private void awaitQuiet(long discardedBefore) {
    net.loop()
        .schedule(
            QUIET_PERIOD_MICROS,
            () -> {
              if (discardedBytes == discardedBefore || net.isAtCapacity()) {
                release();
              } else {
                awaitQuiet(discardedBytes);
              }
            });
  }

  /**
   * Shuts down the sending direction once all sent bytes are written. Bytes of the peer are still
   * reported.
   */
  public void shutdownOutput() {
    if (outputEnding || released) {
      return;
    }
    outputEnding = true;
    startLinger();
    sendQueue.whenWritten(this::shutdownChannelOutput);
    sendQueue.runWrittenCallbacks();
  }

  /**
   * Sends a final line and closes at once, without waiting for the peer, to free the descriptor.
   */
  public void closeNow(String line) {
    send(line);
    release();
  }

  private void startLinger() {
    if (lingerTimer == null) {
      lingerTimer = net.loop().schedule(lingerMicros, this::lingerEnded);
    }
  }

  private void lingerEnded() {
    if (extraLingerMicros > 0 && net.hasSpareDescriptors()) {
      long nextMicros = Math.min(LINGER_MICROS, extraLingerMicros);
      extraLingerMicros -= nextMicros;
      lingerTimer = net.loop().schedule(nextMicros, this::lingerEnded);
    } else {
      // Bytes that are still queued are lost. A reset keeps the peer from taking the close for a
      // regular end of stream.
      release(!sendQueue.isEmpty());
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

  /** Closes the link at once; the peer sees a reset. */
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

  /** Closes the socket and frees the link's memory; the only place that does so. */
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
      sendQueue.clear();
      net.released(this);
      if (streamHandler != null) {
        streamHandler.released(this);
      }
    }
  }

  /** Reads the bytes that have already arrived, without waiting for the event loop's event. */
  public void readNow() {
    if (!inputEnded && !released) {
      read();
    }
  }

  /** Reads the available bytes, up to the read quota. */
  private void read() {
    ByteBuffer into;
    if (notificationsOff) {
      into = net.buffers().discardBuffer();
    } else if (streamHandler != null) {
      into = net.buffers().input();
      int quota = streamHandler.readQuota(this);
      into.limit(Math.min(into.capacity(), into.position() + quota));
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
      endInput();
    } else if (count > 0) {
      deliver(into, count);
    }
  }

  private void deliver(ByteBuffer bytes, int count) {
    if (notificationsOff) {
      discardedBytes += count;
      if (discardedBytes > MAX_DISCARDED_BYTES) {
        release();
      }
    } else if (streamHandler != null) {
      int end = bytes.position();
      streamHandler.received(this, bytes.limit(end).position(end - count));
    } else {
      buffer.advance(count);
      handler.received(this);
    }
  }

  private void endInput() {
    inputEnded = true;
    if (outputShut) {
      release();
    } else {
      channel.reading(false);
      startLinger();
    }
    notifyEnded(false);
  }

  /** Ends the link after a read, a write or the channel has reported a failed connection. */
  private void connectionBroken() {
    if (!released) {
      broken = true;
      release();
      notifyEnded(true);
    }
  }

  private void notifyEnded(boolean reset) {
    if (!notificationsOff) {
      notificationsOff = true;
      if (streamHandler != null) {
        streamHandler.ended(this, reset);
      } else {
        handler.ended(this, reset);
      }
    }
  }
}
