package brassbank.relay;

import brassbank.net.Channel;
import brassbank.net.EventLoop;
import brassbank.net.Link;
import brassbank.net.Net;
import brassbank.net.Network;
import brassbank.relay.limits.QueueMemory;
import brassbank.relay.limits.RelayLimits;
import brassbank.sources.Clock;
import brassbank.sources.SystemClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the cost of relaying bytes without the kernel: a session between two in-memory channels.
 * With {@code -prof gc} it reports the bytes allocated per operation. It runs with the JIT compiler
 * that deploy/serve.sh selects.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@State(Scope.Thread)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgsAppend = "-XX:TieredStopAtLevel=1")
public class RelayBenchmark {
  private static final int LINE_BYTES = 42;
  private static final int BULK_BYTES = 32 * 1024;
  private static final int BULK_LINE_BYTES = 1024;

  private final MemoryChannel client = new MemoryChannel();
  private final MemoryChannel target = new MemoryChannel();
  private final byte[] line =
      ("m" + "x".repeat(LINE_BYTES - 3) + "\r\n").getBytes(StandardCharsets.US_ASCII);
  private final byte[] bulk = new byte[BULK_BYTES];
  private int changes;

  /** A channel that delivers the bytes it is given and accepts all writes. */
  private static final class MemoryChannel implements Channel {
    private Handler handler;
    private byte[] next;
    private long writtenBytes;

    void receive(byte[] bytes) {
      next = bytes;
      handler.readable();
    }

    @Override
    public void handler(Handler receiver) {
      handler = receiver;
    }

    @Override
    public int read(ByteBuffer into) {
      into.put(next);
      return next.length;
    }

    @Override
    public int write(ByteBuffer from) {
      int count = from.remaining();
      from.position(from.limit());
      writtenBytes += count;
      return count;
    }

    @Override
    public void reading(boolean on) {}

    @Override
    public void writing(boolean on) {}

    @Override
    public void shutdownOutput() {}

    @Override
    public void close() {}

    @Override
    public void reset() {}
  }

  /** A network that connects the two channels. */
  private final class TwoChannelNetwork implements Network {
    private Consumer<Channel> accepted;

    @Override
    public void start(EventLoop loop) {}

    @Override
    public Listener listen(InetSocketAddress address, boolean first, Consumer<Channel> onAccept) {
      accepted = onAccept;
      return on -> {};
    }

    @Override
    public Attempt connect(InetSocketAddress address, ConnectHandler handler) {
      handler.connected(target);
      return () -> {};
    }

    @Override
    public Attempt get(InetSocketAddress address, String path, ResponseHandler handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void execute(Runnable task) {
      task.run();
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

  private final class CountingObserver extends IgnoringObserver {
    @Override
    public void requestRelayed() {
      changes++;
    }

    @Override
    public void responseRelayed() {
      changes++;
    }
  }

  @Setup
  public void open() throws IOException {
    for (int i = 0; i < BULK_BYTES; i++) {
      bulk[i] = (byte) (i % BULK_LINE_BYTES == BULK_LINE_BYTES - 1 ? '\n' : 'r');
    }
    TwoChannelNetwork network = new TwoChannelNetwork();
    Net net = new Net(1024, network);
    Relay relay = new Relay(net, RelayLimits.NONE, QueueMemory.UNLIMITED);
    Link[] links = new Link[2];
    net.listen(new InetSocketAddress(0), link -> links[0] = link);
    network.accepted.accept(client);
    net.connect(
        new InetSocketAddress(0),
        1_000_000,
        null,
        new Net.ConnectHandler() {
          @Override
          public void connected(Link link) {
            links[1] = link;
          }

          @Override
          public void failed(Throwable cause) {
            throw new IllegalStateException(cause);
          }
        });
    relay.openSession(1, "acme", links[0], links[1], new CountingObserver()).start();
  }

  /** Relays a line of the client and the response: two lines. */
  @Benchmark
  public long lineAndAnswer() {
    client.receive(line);
    target.receive(line);
    return client.writtenBytes + changes;
  }

  /** Relays 32 KiB from the stream host, in lines of 1 KiB. */
  @Benchmark
  public long bulkDown() {
    target.receive(bulk);
    return client.writtenBytes;
  }

  /** Relays 32 KiB from the client, in lines of 1 KiB. */
  @Benchmark
  public long bulkUp() {
    client.receive(bulk);
    return target.writtenBytes;
  }
}
