package brassbank.relay;

import brassbank.net.Channel;
import brassbank.net.EventLoop;
import brassbank.net.Link;
import brassbank.net.Net;
import brassbank.net.Network;
import brassbank.relay.limits.DisconnectDecision;
import brassbank.relay.limits.RelayLimits;
import brassbank.relay.limits.Side;
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
 * What passing bytes costs without a kernel: a session between two channels that give and take at
 * once. With {@code -prof gc} it tells the bytes allocated for each operation. The compiler is the
 * one that deploy/serve.sh asks for.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@State(Scope.Thread)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(value = 1, jvmArgsAppend = "-XX:TieredStopAtLevel=1")
public class RelayBenchmark {
  private static final int LINE = 42;
  private static final int CHUNK = 32 * 1024;
  private static final int BULK_LINE = 1024;

  private final Memory client = new Memory();
  private final Memory target = new Memory();
  private final byte[] line =
      ("m" + "x".repeat(LINE - 3) + "\r\n").getBytes(StandardCharsets.US_ASCII);
  private final byte[] bulk = new byte[CHUNK];
  private int changes;

  /** A connection that gives what it was loaded with and takes everything. */
  private static final class Memory implements Channel {
    private Handler handler;
    private byte[] next;
    private long taken;

    void come(byte[] bytes) {
      next = bytes;
      handler.readable();
    }

    @Override
    public void handler(Handler told) {
      handler = told;
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
      taken += count;
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

  /** Hands out the two channels. */
  private final class Two implements Network {
    private Consumer<Channel> accepted;

    @Override
    public void start(EventLoop loop) {}

    @Override
    public Listener listen(InetSocketAddress address, boolean first, Consumer<Channel> taker) {
      accepted = taker;
      return on -> {};
    }

    @Override
    public Attempt connect(InetSocketAddress address, ConnectHandler then) {
      then.connected(target);
      return () -> {};
    }

    @Override
    public Attempt get(InetSocketAddress address, String path, ResponseHandler answer) {
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

  private final class Counting implements SessionObserver {
    @Override
    public void requestRelayed() {
      changes++;
    }

    @Override
    public void responseRelayed() {
      changes++;
    }

    @Override
    public void loadReported(String text) {}

    @Override
    public void byeReceived() {}

    @Override
    public void moveReceived() {}

    @Override
    public void ended(boolean byClient, boolean reset) {}

    @Override
    public String slowPeerDisconnected(Side side, DisconnectDecision.Reason reason) {
      return "MOVE";
    }
  }

  @Setup
  public void open() throws IOException {
    for (int i = 0; i < CHUNK; i++) {
      bulk[i] = (byte) (i % BULK_LINE == BULK_LINE - 1 ? '\n' : 'r');
    }
    Two network = new Two();
    Net net = new Net(1024, network);
    Relay relay = new Relay(net, RelayLimits.NONE);
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
    relay.openSession(1, "acme", links[0], links[1], new Counting()).start();
  }

  /** A client's line and its answer: two relayed lines. */
  @Benchmark
  public long lineAndAnswer() {
    client.come(line);
    target.come(line);
    return client.taken + changes;
  }

  /** 32 KiB of a host's lines of 1 KiB each. */
  @Benchmark
  public long bulkDown() {
    target.come(bulk);
    return client.taken;
  }

  /** 32 KiB of a client's lines of 1 KiB each. */
  @Benchmark
  public long bulkUp() {
    client.come(bulk);
    return target.taken;
  }
}
