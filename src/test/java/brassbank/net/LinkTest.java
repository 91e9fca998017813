package brassbank.net;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.sources.Clock;
import brassbank.sources.SystemClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class LinkTest {
  /** A connection that takes so many bytes and then no more until it is given room again. */
  private static final class Narrow implements Channel {
    final StringBuilder log = new StringBuilder();
    int room;
    int unread;
    boolean broken;
    Handler handler;

    @Override
    public void handler(Handler told) {
      handler = told;
    }

    @Override
    public int read(ByteBuffer into) {
      int count = Math.min(unread, into.remaining());
      into.position(into.position() + count);
      unread -= count;
      return count;
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
      if (broken) {
        throw new IOException("reset by peer");
      }
      int taken = Math.min(room, from.remaining());
      byte[] bytes = new byte[taken];
      from.get(bytes);
      log.append(new String(bytes, StandardCharsets.US_ASCII));
      room -= taken;
      return taken;
    }

    @Override
    public void reading(boolean on) {}

    @Override
    public void writing(boolean on) {
      log.append(on ? "[" : "]");
    }

    @Override
    public void shutdownOutput() {
      log.append(" shut");
    }

    @Override
    public void close() {
      log.append(" closed");
    }

    @Override
    public void reset() {
      log.append(" reset");
    }

    void room(int bytes) {
      room = bytes;
      handler.writable();
    }
  }

  /** A network without any, for what needs its clock only. */
  private static final class Still implements Network {
    @Override
    public void start(EventLoop loop) {}

    @Override
    public Listener listen(InetSocketAddress address, boolean first, Consumer<Channel> accepted) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Attempt connect(InetSocketAddress address, ConnectHandler then) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Attempt get(InetSocketAddress address, String path, ResponseHandler answer) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void execute(Runnable task) {
      throw new UnsupportedOperationException();
    }

    @Override
    public int descriptors() {
      return -1;
    }

    @Override
    public Clock clock() {
      return new SystemClock();
    }
  }

  private final class Told implements Link.StreamHandler {
    @Override
    public int readQuota(Link from) {
      return 7;
    }

    @Override
    public void received(Link from, ByteBuffer bytes) {
      told.add("came " + bytes.remaining());
    }

    @Override
    public void queued(Link to, int bytes) {
      told.add("waits " + bytes);
    }

    @Override
    public void drained(Link to, int bytes) {
      told.add("took " + bytes);
    }

    @Override
    public void ended(Link from, boolean reset) {
      told.add("ended " + reset);
    }

    @Override
    public void released(Link from) {
      told.add("released");
    }
  }

  private final Narrow channel = new Narrow();
  private final List<String> told = new ArrayList<>();
  private final Net net = new Net(1024, new Still());
  private final Link link =
      new Link(
          net,
          channel,
          new Link.LineHandler() {
            @Override
            public void received(Link from) {}

            @Override
            public void ended(Link from, boolean reset) {
              told.add("ended " + reset);
            }
          });

  private void send(String text) {
    link.send(text.getBytes(StandardCharsets.US_ASCII), () -> told.add("written " + text));
  }

  @Test
  void writesAtOnceAndAsksToBeToldOnlyForTheRest() {
    channel.room = 5;
    send("one");
    assertThat(channel.log).hasToString("one");
    send("two");
    send("three");
    assertThat(channel.log).hasToString("onetw[");
    assertThat(told).containsExactly("written one");
    channel.room(3);
    channel.room(9);
    assertThat(channel.log).hasToString("onetw[othree]");
    assertThat(told).containsExactly("written one", "written two", "written three");
  }

  @Test
  void endsItsSendingBehindTheLastByteThatWaits() {
    channel.room = 2;
    send("last");
    link.shutdownOutput();
    send("too late");
    assertThat(channel.log).hasToString("la[");
    channel.room(10);
    assertThat(channel.log).hasToString("la[st] shut");
  }

  @Test
  void tellsAStreamWhatWaitsWhatWasTakenAndThatItsMemoryIsFree() {
    channel.room = 4;
    link.send("UP r-1");
    link.startStreaming(new Told());
    link.send(ByteBuffer.wrap(new byte[20_000]));
    assertThat(link.queuedBytes()).isEqualTo(20_004);
    assertThat(net.buffers().leasedBytes()).isGreaterThanOrEqualTo(20_004);
    channel.room(3_000);
    channel.room(20_000);
    assertThat(told).containsExactly("waits 4", "waits 20000", "took 3000", "took 17004");
    assertThat(net.buffers().leasedBytes()).isZero();
    channel.room = 0;
    link.send("x");
    link.reset();
    assertThat(told).endsWith("waits 3", "released");
    assertThat(net.buffers().leasedBytes()).isZero();
  }

  @Test
  void readsNoMoreInATurnThanTheStreamHasRoomFor() {
    link.startStreaming(new Told());
    channel.unread = 10;
    channel.handler.readable();
    channel.handler.readable();
    assertThat(told).containsExactly("came 7", "came 3");
  }

  @Test
  void isGivenBackOnceWhereAWriteFails() {
    channel.broken = true;
    send("lost");
    send("lost too");
    assertThat(told).containsExactly("ended true");
    assertThat(channel.log).hasToString(" closed");
  }
}
