package brassbank.sim;

import brassbank.net.Channel;
import brassbank.net.EventLoop;
import brassbank.net.Network;
import brassbank.sources.Clock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/** Delegates to another network. A planted bug overrides the methods that it corrupts. */
class Wrapped implements Network {
  final Network real;
  EventLoop loop;

  Wrapped(Network real) {
    this.real = real;
  }

  /** Returns the channel to use for a connection that was accepted from a client. */
  Channel fromClient(Channel channel) {
    return channel;
  }

  /** Returns the channel to use for a connection that was opened to this address. */
  Channel opened(InetSocketAddress address, Channel channel) {
    return channel;
  }

  @Override
  public void start(EventLoop timers) throws IOException {
    loop = timers;
    real.start(timers);
  }

  @Override
  public Listener listen(InetSocketAddress address, boolean first, Consumer<Channel> accepted)
      throws IOException {
    return real.listen(address, first, channel -> accepted.accept(fromClient(channel)));
  }

  @Override
  public Listener inherit(Consumer<Channel> accepted) throws IOException {
    return real.inherit(channel -> accepted.accept(fromClient(channel)));
  }

  @Override
  public Attempt connect(InetSocketAddress address, ConnectHandler then) {
    return real.connect(
        address,
        new ConnectHandler() {
          @Override
          public void connected(Channel channel) {
            then.connected(opened(address, channel));
          }

          @Override
          public void failed(IOException cause) {
            then.failed(cause);
          }
        });
  }

  @Override
  public Attempt get(InetSocketAddress address, String path, ResponseHandler answer) {
    return real.get(address, path, answer);
  }

  @Override
  public Datagrams datagrams(InetSocketAddress address, DatagramHandler heard) throws IOException {
    return real.datagrams(address, heard);
  }

  @Override
  public void execute(Runnable task) {
    real.execute(task);
  }

  @Override
  public int descriptors() {
    return real.descriptors();
  }

  @Override
  public Clock clock() {
    return real.clock();
  }

  /** Delegates to another channel. */
  static class Wire implements Channel {
    final Channel real;

    Wire(Channel real) {
      this.real = real;
    }

    @Override
    public void handler(Handler handler) {
      real.handler(handler);
    }

    @Override
    public int read(ByteBuffer into) throws IOException {
      return real.read(into);
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
      return real.write(from);
    }

    /** Writes other bytes in place of those given, and reports the given ones as written. */
    final int instead(ByteBuffer from, String text) throws IOException {
      int count = from.remaining();
      from.position(from.limit());
      real.write(ByteBuffer.wrap(text.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1)));
      return count;
    }

    /** Returns the text that is about to be written, without consuming it. */
    static String text(ByteBuffer from) {
      return java.nio.charset.StandardCharsets.ISO_8859_1.decode(from.duplicate()).toString();
    }

    @Override
    public void reading(boolean on) {
      real.reading(on);
    }

    @Override
    public void writing(boolean on) {
      real.writing(on);
    }

    @Override
    public void shutdownOutput() throws IOException {
      real.shutdownOutput();
    }

    @Override
    public void close() {
      real.close();
    }

    @Override
    public void reset() {
      real.reset();
    }
  }
}
