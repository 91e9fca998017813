package brassbank.sim.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import brassbank.sim.time.Agenda;
import brassbank.sim.time.RandomStreams;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Compares the simulated TCP with the behaviour of a Linux kernel. */
class EndpointTest {
  private static final int PORT = 7070;

  private final Agenda agenda = new Agenda();
  private final Fabric fabric =
      new Fabric(
          agenda,
          new RandomStreams(1),
          new Fabric.Latency(1_000, 1_000, 1_000, 1_000, 0),
          new Fabric.Buffers(16_384, 16_384, 100_000_000));
  private Program left;
  private Program right;
  private ListeningSocket port;
  private Endpoint near;
  private Endpoint far;
  private IOException failure;

  @BeforeEach
  void machines() throws Exception {
    left = program("left", 1);
    right = program("right", 2);
    port = right.listen(PORT, 4, () -> {});
  }

  private Program program(String name, int number) throws Exception {
    InetAddress address = InetAddress.getByAddress(new byte[] {10, 0, 0, (byte) number});
    return new Program(fabric.addMachine(name, "leith", address), name, 0, 20);
  }

  private Program.PendingConnect dial() {
    return left.connect(
        new InetSocketAddress(right.machine().address(), PORT),
        new Program.ConnectHandler() {
          @Override
          public void connected(Endpoint endpoint) {
            near = endpoint;
          }

          @Override
          public void failed(IOException cause) {
            failure = cause;
          }
        });
  }

  private void advance(long micros) {
    long end = agenda.now() + micros;
    while (agenda.step(end)) {
      // Advances virtual time.
    }
  }

  private void connect() {
    dial();
    advance(10_000);
    far = port.accept();
  }

  private static int write(Endpoint to, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    return to.write(bytes, 0, bytes.length);
  }

  private static String read(Endpoint from) throws IOException {
    byte[] bytes = new byte[100_000];
    int count = from.read(bytes, 0, bytes.length);
    return count < 0 ? "end" : new String(bytes, 0, count, StandardCharsets.ISO_8859_1);
  }

  @Test
  void deliversBytesInOrderFollowedByEndOfStream() throws Exception {
    connect();
    write(near, "one ");
    write(near, "two");
    near.shutdownOutput();
    assertThat(read(far)).isEmpty();
    advance(10_000);
    assertThat(read(far)).isEqualTo("one two");
    assertThat(read(far)).isEqualTo("end");
    write(far, "three");
    advance(10_000);
    assertThat(read(near)).isEqualTo("three");
  }

  @Test
  void acceptsOnlyWhatBuffersHoldAndResumesAfterARead() throws Exception {
    connect();
    String text = "x".repeat(100_000);
    int accepted = write(near, text);
    advance(100_000);
    accepted += write(near, text);
    advance(100_000);
    assertThat(accepted).isEqualTo(2 * 16_384);
    assertThat(read(far)).hasSize(16_384);
    advance(100_000);
    assertThat(write(near, text)).isPositive();
    assertThat(read(far)).hasSize(16_384);
  }

  @Test
  void closeWithUnreadBytesResetsTheConnection() throws Exception {
    connect();
    write(near, "unread");
    advance(10_000);
    far.close();
    advance(10_000);
    assertThatThrownBy(() -> read(near)).isInstanceOf(ResetException.class);
  }

  @Test
  void bytesForAClosedConnectionAreAnsweredWithAReset() throws Exception {
    connect();
    write(far, "last");
    far.close();
    advance(10_000);
    // The first write after the peer's close is accepted; the reset arrives after a round trip.
    assertThat(write(near, "more")).isEqualTo(4);
    advance(10_000);
    assertThatThrownBy(() -> write(near, "more")).isInstanceOf(ResetException.class);
    // Bytes that arrived before the reset can still be read, as on Linux.
    assertThat(read(near)).isEqualTo("last");
  }

  @Test
  void retransmitsBytesLostInAPartitionAfterItHeals() throws Exception {
    connect();
    Disturbance partition =
        new Disturbance() {
          @Override
          public boolean blocks(Machine from, Machine to) {
            return true;
          }
        };
    fabric.addDisturbance(partition);
    write(near, "late");
    advance(5 * Agenda.SECOND);
    assertThat(read(far)).isEmpty();
    assertThat(near.undisturbedSince()).isEqualTo(agenda.now());
    fabric.removeDisturbance(partition);
    advance(100_000);
    // The next retransmission is due 6.2 s after the first attempt: the timeout doubles from 200
    // ms.
    assertThat(read(far)).isEmpty();
    advance(2 * Agenda.SECOND);
    assertThat(read(far)).isEqualTo("late");
  }

  @Test
  void resetLostOnABlockedPathIsReportedWithTheNextByte() throws Exception {
    connect();
    Disturbance partition =
        new Disturbance() {
          @Override
          public boolean blocks(Machine from, Machine to) {
            return from == right.machine();
          }
        };
    fabric.addDisturbance(partition);
    far.reset();
    advance(Agenda.SECOND);
    fabric.removeDisturbance(partition);
    advance(Agenda.SECOND);
    assertThat(read(near)).isEmpty();
    write(near, "anybody?");
    advance(10_000);
    assertThatThrownBy(() -> read(near)).isInstanceOf(ResetException.class);
  }

  @Test
  void powerLossDropsConnectionsWithoutNotice() throws Exception {
    connect();
    right.machine().losePower();
    right.kill();
    write(near, "anybody?");
    advance(Agenda.SECOND);
    assertThat(read(near)).isEmpty();
    right.machine().restorePower();
    advance(3 * Agenda.SECOND);
    assertThatThrownBy(() -> read(near)).isInstanceOf(ResetException.class);
  }

  @Test
  void connectIsRefusedWithoutListenerAndRetriedWithoutResponse() throws Exception {
    port.close();
    dial();
    advance(10_000);
    assertThat(failure).hasMessageContaining("refused");
    port = right.listen(PORT, 4, () -> {});
    right.machine().losePower();
    dial();
    advance(500_000);
    right.machine().restorePower();
    port = right.listen(PORT + 1, 4, () -> {});
    assertThat(near).isNull();
    advance(600_000);
    // The retry after 1 s reaches the machine, which has no listener on the port.
    assertThat(failure).hasMessageContaining("refused");
  }

  @Test
  void dropsConnectsWhileTheBacklogIsFull() {
    for (int i = 0; i < 4; i++) {
      dial();
    }
    advance(10_000);
    near = null;
    dial();
    advance(500_000);
    assertThat(near).isNull();
    assertThat(port.accept()).isNotNull();
    advance(Agenda.SECOND);
    assertThat(near).isNotNull();
  }

  @Test
  void countsDescriptorsAndEnforcesTheLimit() throws Exception {
    connect();
    left.descriptorLimit(2);
    dial();
    assertThat(left.descriptors()).isEqualTo(2);
    dial();
    advance(10_000);
    assertThat(failure).hasMessageContaining("too many open files");
    near.close();
    assertThat(left.descriptors()).isEqualTo(1);
  }

  @Test
  void reportsReadabilityInSeparateTasksUntilAllBytesAreRead() throws Exception {
    connect();
    StringBuilder readChunks = new StringBuilder();
    far.handler(
        () -> {
          byte[] two = new byte[2];
          try {
            int count = far.read(two, 0, 2);
            readChunks.append(new String(two, 0, count, StandardCharsets.ISO_8859_1)).append('|');
          } catch (IOException e) {
            readChunks.append("broken");
          }
        });
    write(near, "abcde");
    far.reading(false);
    advance(10_000);
    assertThat(readChunks).isEmpty();
    far.reading(true);
    assertThat(readChunks).isEmpty();
    advance(0);
    assertThat(readChunks.toString()).isEqualTo("ab|cd|e|");
  }
}
