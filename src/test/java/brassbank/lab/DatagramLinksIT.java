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

/** Datagrams between the places of two proxies, over links that the lab owns. */
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

  private static DatagramChannel at(InetSocketAddress address) throws Exception {
    DatagramChannel channel = DatagramChannel.open();
    channel.bind(address);
    channel.configureBlocking(false);
    return channel;
  }

  /**
   * What came of the 80 in the middle of one second of the play: its ends are the faults' edges.
   */
  private static List<Integer> of(int second, List<Integer> all) {
    return all.stream()
        .filter(number -> number / 100 == second && number % 100 >= 10 && number % 100 < 90)
        .toList();
  }

  /** Asks a proxy for a sign of life over a stream, as another proxy's machine. */
  private static final class Asking {
    private final InetSocketAddress address;
    private final ByteBuffer answer = ByteBuffer.allocate(64);
    private SocketChannel channel;
    private boolean asked;

    Asking(InetSocketAddress address) {
      this.address = address;
    }

    void look(boolean due) throws java.io.IOException {
      if (!due) {
        return;
      }
      if (channel == null) {
        channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(address);
      }
      if (!asked && channel.finishConnect()) {
        asked = true;
        channel.write(ByteBuffer.wrap("PING\r\n".getBytes()));
      }
      if (asked) {
        channel.read(answer);
      }
    }

    String answer() {
      return new String(answer.array(), 0, answer.position()).strip();
    }
  }

  @Test
  void areLostDoubledOutOfOrderAndCutAsTheScriptSaysAndNotElse() throws Exception {
    Path script = Files.createTempFile("brassbank", ".toml");
    Files.writeString(script, SCRIPT);
    List<Integer> there = new ArrayList<>();
    List<Integer> back = new ArrayList<>();
    Map<String, String> answers = new HashMap<>();
    try (Lab lab = new Lab(Script.read(script), Path.of("").toAbsolutePath(), null)) {
      Map<String, RealProxy> proxies = lab.proxies();
      InetSocketAddress one = proxies.get("n0").address();
      InetSocketAddress other = proxies.get("n1").address();
      InetSocketAddress otherSeen = proxies.get("n1").datagramAddress();
      InetSocketAddress oneSeen = proxies.get("n0").datagramAddress();
      InetSocketAddress otherStream = proxies.get("n0").peerAddress(proxies.get("n1"));
      try (DatagramChannel first = at(one);
          DatagramChannel second = at(other);
          DatagramChannel stranger =
              at(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
        int[] sent = {100};
        Asking calm = new Asking(otherStream);
        Asking cut = new Asking(otherStream);
        ByteBuffer buffer = ByteBuffer.allocate(64);
        lab.play(
            (playing, now) -> {
              try {
                calm.look(now > 1_500_000);
                cut.look(now > 5_200_000);
                answers.put(now < 5_900_000 ? "while cut" : "after it", cut.answer());
                answers.put("calm", calm.answer());
                while (now < 7_000_000 && sent[0] < now / 10_000) {
                  ByteBuffer number = ByteBuffer.allocate(4).putInt(sent[0]++).flip();
                  first.send(number.duplicate(), otherSeen);
                  second.send(number.duplicate(), oneSeen);
                  stranger.send(ByteBuffer.wrap("stranger".getBytes()), otherSeen);
                }
                for (buffer.clear(); second.receive(buffer) != null; buffer.clear()) {
                  there.add(buffer.flip().getInt());
                }
                for (buffer.clear(); first.receive(buffer) != null; buffer.clear()) {
                  back.add(buffer.flip().getInt());
                }
              } catch (java.io.IOException e) {
                throw new IllegalStateException(e);
              }
            });
      }
    }
    Files.delete(script);
    assertThat(of(1, there)).as("calm").hasSize(80).isSorted();
    assertThat(of(2, there)).as("40%% are lost").hasSizeBetween(30, 66).doesNotHaveDuplicates();
    assertThat(of(3, there).size()).as("40%% come twice").isBetween(94, 130);
    assertThat(of(4, there)).as("late by 50 to 150 ms").hasSize(80);
    assertThat(of(4, there)).isNotEqualTo(of(4, there).stream().sorted().toList());
    assertThat(of(5, there)).as("cut").isEmpty();
    assertThat(of(6, there)).as("calm again").hasSize(80);
    assertThat(answers)
        .as("a stream between the same two")
        .containsEntry("calm", "PONG")
        .containsEntry("while cut", "")
        .containsEntry("after it", "PONG");
    assertThat(back).as("the other way").hasSizeGreaterThan(590).isSorted();
  }
}
