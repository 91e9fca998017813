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

/** The simulated TCP, against what a Linux kernel does. */
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

  private void pass(long micros) {
    long end = agenda.now() + micros;
    while (agenda.step(end)) {
      // On.
    }
  }

  private void connect() {
    dial();
    pass(10_000);
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
  void carriesBytesInOrderAndThenTheEnd() throws Exception {
    connect();
    write(near, "one ");
    write(near, "two");
    near.shutdownOutput();
    assertThat(read(far)).isEmpty();
    pass(10_000);
    assertThat(read(far)).isEqualTo("one two");
    assertThat(read(far)).isEqualTo("end");
    write(far, "three");
    pass(10_000);
    assertThat(read(near)).isEqualTo("three");
  }

  @Test
  void takesNoMoreThanTheBuffersHoldAndGoesOnOnceTheyAreRead() throws Exception {
    connect();
    String text = "x".repeat(100_000);
    int taken = write(near, text);
    pass(100_000);
    taken += write(near, text);
    pass(100_000);
    assertThat(taken).isEqualTo(2 * 16_384);
    assertThat(read(far)).hasSize(16_384);
    pass(100_000);
    assertThat(write(near, text)).isPositive();
    assertThat(read(far)).hasSize(16_384);
  }

  @Test
  void resetsWhereBytesWereUnreadAtTheClose() throws Exception {
    connect();
    write(near, "unread");
    pass(10_000);
    far.close();
    pass(10_000);
    assertThatThrownBy(() -> read(near)).isInstanceOf(ResetException.class);
  }

  @Test
  void answersBytesForAClosedConnectionWithAReset() throws Exception {
    connect();
    write(far, "last");
    far.close();
    pass(10_000);
    // The first write after the peer's close is taken; its reset comes one way later.
    assertThat(write(near, "more")).isEqualTo(4);
    pass(10_000);
    assertThatThrownBy(() -> write(near, "more")).isInstanceOf(ResetException.class);
    // What came before the reset is still there, as on Linux.
    assertThat(read(near)).isEqualTo("last");
  }

  @Test
  void repeatsWhatACutHasLostAfterTheCut() throws Exception {
    connect();
    Disturbance cut =
        new Disturbance() {
          @Override
          public boolean blocks(Machine from, Machine to) {
            return true;
          }
        };
    fabric.addDisturbance(cut);
    write(near, "late");
    pass(5 * Agenda.SECOND);
    assertThat(read(far)).isEmpty();
    assertThat(near.undisturbedSince()).isEqualTo(agenda.now());
    fabric.removeDisturbance(cut);
    pass(100_000);
    // The next repeat was due 6.2 s after the first try, which doubles from 200 ms.
    assertThat(read(far)).isEmpty();
    pass(2 * Agenda.SECOND);
    assertThat(read(far)).isEqualTo("late");
  }

  @Test
  void losesAResetOnACutWayAndTellsItWithTheNextByte() throws Exception {
    connect();
    Disturbance cut =
        new Disturbance() {
          @Override
          public boolean blocks(Machine from, Machine to) {
            return from == right.machine();
          }
        };
    fabric.addDisturbance(cut);
    far.reset();
    pass(Agenda.SECOND);
    fabric.removeDisturbance(cut);
    pass(Agenda.SECOND);
    assertThat(read(near)).isEmpty();
    write(near, "anybody?");
    pass(10_000);
    assertThatThrownBy(() -> read(near)).isInstanceOf(ResetException.class);
  }

  @Test
  void knowsNothingOfItsConnectionsAfterAPowerCut() throws Exception {
    connect();
    right.machine().losePower();
    right.kill();
    write(near, "anybody?");
    pass(Agenda.SECOND);
    assertThat(read(near)).isEmpty();
    right.machine().restorePower();
    pass(3 * Agenda.SECOND);
    assertThatThrownBy(() -> read(near)).isInstanceOf(ResetException.class);
  }

  @Test
  void refusesWhereNobodyListensAndTriesAgainWhereNothingComesBack() throws Exception {
    port.close();
    dial();
    pass(10_000);
    assertThat(failure).hasMessageContaining("refused");
    port = right.listen(PORT, 4, () -> {});
    right.machine().losePower();
    dial();
    pass(500_000);
    right.machine().restorePower();
    port = right.listen(PORT + 1, 4, () -> {});
    assertThat(near).isNull();
    pass(600_000);
    // The repeat after 1 s finds the machine, and no one at the port.
    assertThat(failure).hasMessageContaining("refused");
  }

  @Test
  void dropsConnectsBeyondTheBacklogUntilThereIsRoom() {
    for (int i = 0; i < 4; i++) {
      dial();
    }
    pass(10_000);
    near = null;
    dial();
    pass(500_000);
    assertThat(near).isNull();
    assertThat(port.accept()).isNotNull();
    pass(Agenda.SECOND);
    assertThat(near).isNotNull();
  }

  @Test
  void countsDescriptorsAndGivesOutNoMoreThanTheLimit() throws Exception {
    connect();
    left.descriptorLimit(2);
    dial();
    assertThat(left.descriptors()).isEqualTo(2);
    dial();
    pass(10_000);
    assertThat(failure).hasMessageContaining("too many open files");
    near.close();
    assertThat(left.descriptors()).isEqualTo(1);
  }

  @Test
  void tellsOfBytesOnATurnOfItsOwnForAsLongAsThereAreAny() throws Exception {
    connect();
    StringBuilder told = new StringBuilder();
    far.handler(
        () -> {
          byte[] two = new byte[2];
          try {
            int count = far.read(two, 0, 2);
            told.append(new String(two, 0, count, StandardCharsets.ISO_8859_1)).append('|');
          } catch (IOException e) {
            told.append("broken");
          }
        });
    write(near, "abcde");
    far.reading(false);
    pass(10_000);
    assertThat(told).isEmpty();
    far.reading(true);
    assertThat(told).isEmpty();
    pass(0);
    assertThat(told.toString()).isEqualTo("ab|cd|e|");
  }
}
