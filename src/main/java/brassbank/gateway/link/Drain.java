package brassbank.gateway.link;

import brassbank.net.Channel;
import brassbank.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The end of a connection on which a last word was sent: a close with bytes unread would reset it,
 * and the word might be lost. It owns the connection, and gives it back once the peer has ended
 * too, after a second at the latest.
 */
final class Drain implements Channel.Handler {
  private static final long LIMIT_MICROS = 1_000_000;
  private static final int MOST_BYTES = 4 << 20;

  private final Io io;
  private final Channel channel;
  private final Runnable released;
  private final EventLoop.Timer limit;
  private int discarded;
  private boolean over;

  Drain(Io io, Channel channel, Runnable released) {
    this.io = io;
    this.channel = channel;
    this.released = released;
    limit = io.loop().schedule(LIMIT_MICROS, this::broken);
    channel.handler(this);
    channel.writing(false);
    channel.reading(true);
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      broken();
    }
  }

  @Override
  public void readable() {
    ByteBuffer into = io.input();
    try {
      int count = channel.read(into);
      discarded += Math.max(0, count);
      if (count < 0 || discarded > MOST_BYTES) {
        broken();
      }
    } catch (IOException e) {
      broken();
    }
  }

  @Override
  public void writable() {}

  @Override
  public void broken() {
    if (!over) {
      over = true;
      limit.cancel();
      channel.close();
      released.run();
    }
  }
}
