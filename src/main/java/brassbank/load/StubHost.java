package brassbank.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A stub stream host that accepts every flow immediately and never answers {@code BUSY}. The mode
 * of a session is the value {@code toy=MODE} in the {@code OPEN} line, which the proxy forwards
 * unchanged: {@code echo} (the default) returns all received bytes; {@code sink} verifies bulk data
 * and acknowledges it periodically; {@code source} sends bulk data as fast as the peer reads it;
 * {@code pour:RATE} sends RATE bytes of bulk data a second; {@code mute} reads and sends nothing.
 */
final class StubHost {
  private static final int MAX_LINE_LENGTH = 4 * 1024;
  private static final long ACK_INTERVAL_NANOS = 100_000_000;
  private static final long POUR_INTERVAL_NANOS = 50_000_000;

  /** Limits the consecutive writes of one source, so that other connections are served too. */
  private static final int MAX_WRITES_PER_EVENT = 4;

  private final Reactor reactor;
  private final String name;
  private final InetSocketAddress address;
  private final BulkPattern pattern;
  private final int chunkBytes;
  private long bulkBytesReceived;
  private long openedFlows;
  private String fault;

  /**
   * Starts the host on a free port of 127.0.0.1.
   *
   * @param pattern the bulk data that the host's connections send and expect
   * @param chunkBytes the number of bytes per write in the mode {@code source}
   */
  StubHost(Reactor reactor, String name, BulkPattern pattern, int chunkBytes) {
    this.reactor = reactor;
    this.name = name;
    this.pattern = pattern;
    this.chunkBytes = chunkBytes;
    address = reactor.listen(new InetSocketAddress("127.0.0.1", 0), HostConnection::new);
  }

  String name() {
    return name;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Returns the number of bulk bytes received so far by all {@code sink} sessions. */
  long bulkBytesReceived() {
    return reactor.call(() -> bulkBytesReceived);
  }

  /** Returns a description of the last mismatch in the received bulk data, or null. */
  String fault() {
    return reactor.call(() -> fault);
  }

  private final class HostConnection implements Connection.Handler {
    private final StringBuilder lineBuffer = new StringBuilder();
    private Connection.Handler mode;

    @Override
    public void received(Connection connection, ByteBuffer bytes) {
      while (mode == null && bytes.hasRemaining()) {
        char c = (char) (bytes.get() & 0xff);
        if (c != '\n') {
          lineBuffer.append(c);
          if (lineBuffer.length() > MAX_LINE_LENGTH) {
            connection.close();
            return;
          }
        } else {
          String text = lineBuffer.toString().stripTrailing();
          lineBuffer.setLength(0);
          handleFirstLine(connection, text);
        }
      }
      if (mode != null && bytes.hasRemaining()) {
        mode.received(connection, bytes);
      }
    }

    private void handleFirstLine(Connection connection, String text) {
      if (text.equals("PING")) {
        connection.writeLine("PONG");
      } else if (text.equals("STATS")) {
        connection.writeLine("PONG x0=0.1,x1=0,throughput=2,errors_per_s=0");
      } else if (text.startsWith("OPEN ")) {
        connection.writeLine("UP " + name + "-" + ++openedFlows);
        mode = createMode(connection, text);
        mode.connected(connection);
      } else {
        connection.writeLine("SYNTAX");
      }
    }

    private Connection.Handler createMode(Connection connection, String openLine) {
      int valueStart = openLine.indexOf(",toy=");
      String requested =
          valueStart < 0 ? "echo" : openLine.substring(valueStart + 5).replaceAll(",.*", "");
      if (requested.startsWith("pour:")) {
        return new PacedSource(connection, Double.parseDouble(requested.substring(5)));
      }
      return switch (requested) {
        case "sink" -> new Sink();
        case "source" -> new Source();
        case "mute" -> new Mute();
        default -> new Echo();
      };
    }

    @Override
    public void writable(Connection connection) {
      if (mode != null) {
        mode.writable(connection);
      }
    }

    @Override
    public void disconnected(Connection connection, IOException cause) {
      if (mode != null) {
        mode.disconnected(connection, cause);
      }
    }
  }

  private static final class Echo implements Connection.Handler {
    @Override
    public void received(Connection connection, ByteBuffer bytes) {
      connection.write(bytes);
      if (connection.hasPendingOutput()) {
        connection.setReadPaused(true);
      }
    }

    @Override
    public void writable(Connection connection) {
      connection.setReadPaused(false);
    }

    @Override
    public void disconnected(Connection connection, IOException cause) {}
  }

  private final class Sink implements Connection.Handler {
    private final BulkPattern expected = new BulkPattern(pattern);
    private long lastAckNanos = Reactor.nanoTime();

    @Override
    public void received(Connection connection, ByteBuffer bytes) {
      StubHost.this.bulkBytesReceived += bytes.remaining();
      if (!expected.matches(bytes)) {
        fault =
            name
                + ": received bulk data differs from the expected data after byte "
                + expected.position();
        connection.reset();
        return;
      }
      // The proxy may treat a host that never sends anything as failed, so the sink acknowledges.
      if (Reactor.nanoTime() - lastAckNanos > ACK_INTERVAL_NANOS) {
        lastAckNanos = Reactor.nanoTime();
        connection.write(
            ByteBuffer.wrap(
                ("ack " + expected.position() + "\r\n").getBytes(StandardCharsets.ISO_8859_1)));
      }
    }

    @Override
    public void disconnected(Connection connection, IOException cause) {}
  }

  private final class Source implements Connection.Handler {
    private final BulkPattern sent = new BulkPattern(pattern);

    @Override
    public void connected(Connection connection) {
      connection.requestWritable();
    }

    @Override
    public void writable(Connection connection) {
      for (int i = 0; i < MAX_WRITES_PER_EVENT && connection.isOpen(); i++) {
        ByteBuffer next = sent.nextSlice(chunkBytes);
        sent.advance(connection.tryWrite(next));
        if (next.hasRemaining()) {
          break;
        }
      }
      if (connection.isOpen()) {
        connection.requestWritable();
      }
    }

    @Override
    public void received(Connection connection, ByteBuffer bytes) {}

    @Override
    public void disconnected(Connection connection, IOException cause) {}
  }

  private static final class Mute implements Connection.Handler {
    @Override
    public void received(Connection connection, ByteBuffer bytes) {}

    @Override
    public void disconnected(Connection connection, IOException cause) {}
  }

  /**
   * Sends a portion of bulk data in each interval. What the socket does not accept is not sent in
   * addition later, so a peer that reads slowly lowers the rate.
   */
  private final class PacedSource implements Connection.Handler {
    private final BulkPattern sent = new BulkPattern(pattern);
    private final int portionBytes;

    PacedSource(Connection connection, double bytesPerSecond) {
      portionBytes = Math.max(1, (int) (bytesPerSecond * POUR_INTERVAL_NANOS / 1e9));
      sendPortion(connection);
    }

    private void sendPortion(Connection connection) {
      for (int remaining = portionBytes; remaining > 0 && connection.isOpen(); ) {
        int count = connection.tryWrite(sent.nextSlice(remaining));
        sent.advance(count);
        remaining = count == 0 ? 0 : remaining - count;
      }
      if (connection.isOpen()) {
        reactor.schedule(POUR_INTERVAL_NANOS, () -> sendPortion(connection));
      }
    }

    @Override
    public void received(Connection connection, ByteBuffer bytes) {}

    @Override
    public void disconnected(Connection connection, IOException cause) {}
  }
}
