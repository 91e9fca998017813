package brassbank.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LinkTest {
  /** A channel that accepts a limited number of bytes and records all calls. */
  private static final class LimitedChannel implements Channel {
    final StringBuilder log = new StringBuilder();
    int writableBytes;
    int readableBytes;
    boolean broken;
    Handler handler;

    @Override
    public void handler(Handler next) {
      handler = next;
    }

    @Override
    public int read(ByteBuffer into) {
      int count = Math.min(readableBytes, into.remaining());
      into.position(into.position() + count);
      readableBytes -= count;
      return count;
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
      if (broken) {
        throw new IOException("reset by peer");
      }
      int count = Math.min(writableBytes, from.remaining());
      byte[] bytes = new byte[count];
      from.get(bytes);
      log.append(new String(bytes, StandardCharsets.US_ASCII));
      writableBytes -= count;
      return count;
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

    void accept(int bytes) {
      writableBytes = bytes;
      handler.writable();
    }
  }

  private final class RecordingHandler implements Link.StreamHandler {
    @Override
    public int readQuota(Link from) {
      return 7;
    }

    @Override
    public void received(Link from, ByteBuffer bytes) {
      events.add("received " + bytes.remaining());
    }

    @Override
    public void queued(Link to, int bytes) {
      events.add("queued " + bytes);
    }

    @Override
    public void drained(Link to, int bytes) {
      events.add("drained " + bytes);
    }

    @Override
    public void ended(Link from, boolean reset) {
      events.add("ended " + reset);
    }

    @Override
    public void released(Link from) {
      events.add("released");
    }
  }

  private final LimitedChannel channel = new LimitedChannel();
  private final List<String> events = new ArrayList<>();
  private final Net net = new InMemoryNetwork().net;
  private final Link link =
      new Link(
          net,
          channel,
          new Link.LineHandler() {
            @Override
            public void received(Link from) {}

            @Override
            public void ended(Link from, boolean reset) {
              events.add("ended " + reset);
            }
          });

  private void send(String text) {
    link.send(text.getBytes(StandardCharsets.US_ASCII), () -> events.add("written " + text));
  }

  @Test
  void writesAtOnceAndTurnsWritableEventsOnOnlyWhileBytesAreQueued() {
    channel.writableBytes = 5;
    send("one");
    assertThat(channel.log).hasToString("one");
    send("two");
    send("three");
    assertThat(channel.log).hasToString("onetw[");
    assertThat(events).containsExactly("written one");
    channel.accept(3);
    channel.accept(9);
    assertThat(channel.log).hasToString("onetw[othree]");
    assertThat(events).containsExactly("written one", "written two", "written three");
  }

  @Test
  void shutsDownOutputAfterTheLastQueuedByte() {
    channel.writableBytes = 2;
    send("last");
    link.shutdownOutput();
    send("too late");
    assertThat(channel.log).hasToString("la[");
    channel.accept(10);
    assertThat(channel.log).hasToString("la[st] shut");
  }

  @Test
  void reportsQueuedAndDrainedBytesAndReleasedMemoryToTheStreamHandler() {
    channel.writableBytes = 4;
    link.send("UP r-1");
    link.startStreaming(new RecordingHandler());
    link.send(ByteBuffer.wrap(new byte[20_000]));
    assertThat(link.queuedBytes()).isEqualTo(20_004);
    assertThat(net.buffers().leasedBytes()).isGreaterThanOrEqualTo(20_004);
    channel.accept(3_000);
    channel.accept(20_000);
    assertThat(events).containsExactly("queued 4", "queued 20000", "drained 3000", "drained 17004");
    assertThat(net.buffers().leasedBytes()).isZero();
    channel.writableBytes = 0;
    link.send("x");
    link.reset();
    assertThat(events).endsWith("queued 3", "released");
    assertThat(net.buffers().leasedBytes()).isZero();
  }

  @Test
  void readsNoMorePerEventThanTheReadQuota() {
    link.startStreaming(new RecordingHandler());
    channel.readableBytes = 10;
    channel.handler.readable();
    channel.handler.readable();
    assertThat(events).containsExactly("received 7", "received 3");
  }

  @Test
  void isReleasedOnceWhenAWriteFails() {
    channel.broken = true;
    send("lost");
    send("lost too");
    assertThat(events).containsExactly("ended true");
    assertThat(channel.log).hasToString(" closed");
  }
}
