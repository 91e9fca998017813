package brassbank.lab;

import static org.assertj.core.api.Assertions.assertThat;

import brassbank.sim.fault.Script;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Datagrams between the addresses of two proxies, over the simulated links of the lab. */
class DatagramLinksIT {
  private static final String SCRIPT =
      """
      seed = 3
      seconds = 8
      proxies = 2
      hosts = 2
      rate = 1.0

      [[fault]]
      kind = "link-loses"
      target = "n0 > n1"
      at_ms = 2000
      for_ms = 1000
      size = 0.4

      [[fault]]
      kind = "link-doubles"
      target = "n0 > n1"
      at_ms = 3000
      for_ms = 1000
      size = 0.4

      [[fault]]
      kind = "link-late"
      target = "n0 > n1"
      at_ms = 4000
      for_ms = 1000
      size = 100

      [[fault]]
      kind = "link-cut"
      target = "n0 > n1"
      at_ms = 5000
      for_ms = 1000
      """;

  private static DatagramChannel bind(InetSocketAddress address) throws Exception {
    DatagramChannel channel = DatagramChannel.open();
    channel.bind(address);
    channel.configureBlocking(false);
    return channel;
  }

  /**
   * Returns the received numbers of the 80 datagrams in the middle of a second of the run; faults
   * begin and end at its edges.
   */
  private static List<Integer> receivedInSecond(int second, List<Integer> all) {
    return all.stream()
        .filter(number -> number / 100 == second && number % 100 >= 10 && number % 100 < 90)
        .toList();
  }

  /** Sends a PING to a proxy over a stream, as from another proxy's machine. */
  private static final class PingClient {
    private final InetSocketAddress address;
    private final ByteBuffer answer = ByteBuffer.allocate(64);
    private SocketChannel channel;
    private boolean sent;

    PingClient(InetSocketAddress address) {
      this.address = address;
    }

    void poll(boolean due) throws java.io.IOException {
      if (!due) {
        return;
      }
      if (channel == null) {
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(address);
      }
      if (!sent && channel.finishConnect()) {
        sent = true;
        channel.write(ByteBuffer.wrap("PING\r\n".getBytes()));
      }
      if (sent) {
        channel.read(answer);
      }
    }

    String answer() {
      return new String(answer.array(), 0, answer.position()).strip();
    }
  }

  @Test
  void datagramsAreLostDuplicatedReorderedAndCutOnlyAsTheScriptSays() throws Exception {
    Path script = Files.createTempFile("brassbank", ".toml");
    Files.writeString(script, SCRIPT);
    List<Integer> forward = new ArrayList<>();
    List<Integer> backward = new ArrayList<>();
    Map<String, String> answers = new HashMap<>();
    try (Lab lab = new Lab(Script.read(script), Path.of("").toAbsolutePath(), null)) {
      Map<String, RealProxy> proxies = lab.proxies();
      InetSocketAddress firstAddress = proxies.get("n0").address();
      InetSocketAddress secondAddress = proxies.get("n1").address();
      InetSocketAddress secondProxied = proxies.get("n1").datagramAddress();
      InetSocketAddress firstProxied = proxies.get("n0").datagramAddress();
      InetSocketAddress secondStream = proxies.get("n0").peerAddress(proxies.get("n1"));
      try (DatagramChannel first = bind(firstAddress);
          DatagramChannel second = bind(secondAddress);
          DatagramChannel unknownSender =
              bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
        int[] sent = {100};
        PingClient pingWithoutFaults = new PingClient(secondStream);
        PingClient pingDuringCut = new PingClient(secondStream);
        ByteBuffer buffer = ByteBuffer.allocate(64);
        lab.play(
            (playing, now) -> {
              try {
                pingWithoutFaults.poll(now > 1_500_000);
                pingDuringCut.poll(now > 5_200_000);
                answers.put(
                    now < 5_900_000 ? "during the cut" : "after the cut", pingDuringCut.answer());
                answers.put("without faults", pingWithoutFaults.answer());
                while (now < 7_000_000 && sent[0] < now / 10_000) {
                  ByteBuffer number = ByteBuffer.allocate(4).putInt(sent[0]++).flip();
                  first.send(number.duplicate(), secondProxied);
                  second.send(number.duplicate(), firstProxied);
                  unknownSender.send(ByteBuffer.wrap("stranger".getBytes()), secondProxied);
                }
                for (buffer.clear(); second.receive(buffer) != null; buffer.clear()) {
                  forward.add(buffer.flip().getInt());
                }
                for (buffer.clear(); first.receive(buffer) != null; buffer.clear()) {
                  backward.add(buffer.flip().getInt());
                }
              } catch (java.io.IOException e) {
                throw new IllegalStateException(e);
              }
            });
      }
    }
    Files.delete(script);
    assertThat(receivedInSecond(1, forward)).as("without faults").hasSize(80).isSorted();
    assertThat(receivedInSecond(2, forward))
        .as("40%% are lost")
        .hasSizeBetween(30, 66)
        .doesNotHaveDuplicates();
    assertThat(receivedInSecond(3, forward).size()).as("40%% arrive twice").isBetween(94, 130);
    assertThat(receivedInSecond(4, forward)).as("late by 50 to 150 ms").hasSize(80);
    assertThat(receivedInSecond(4, forward))
        .isNotEqualTo(receivedInSecond(4, forward).stream().sorted().toList());
    assertThat(receivedInSecond(5, forward)).as("cut").isEmpty();
    assertThat(receivedInSecond(6, forward)).as("without faults again").hasSize(80);
    assertThat(answers)
        .as("a stream between the same two proxies")
        .containsEntry("without faults", "PONG")
        .containsEntry("during the cut", "")
        .containsEntry("after the cut", "PONG");
    assertThat(backward).as("in the opposite direction").hasSizeGreaterThan(590).isSorted();
  }
}
