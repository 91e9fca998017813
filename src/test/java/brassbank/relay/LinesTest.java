package brassbank.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LinesTest {
  private final List<String> parsed = new ArrayList<>();
  private final HostLineParser host =
      new HostLineParser(
          new LineFeedScanner(),
          new HostLineParser.Listener() {
            @Override
            public void loadReported(String text) {
              parsed.add("load " + text);
            }

            @Override
            public void byeReceived() {
              parsed.add("bye");
            }

            @Override
            public void moveReceived() {
              parsed.add("move");
            }

            @Override
            public void responseReceived() {
              parsed.add("response");
            }
          });
  private final ByteBuffer shared = ByteBuffer.allocateDirect(64 * 1024);

  /** Parses a piece of the stream from the shared direct buffer or from a heap buffer. */
  private boolean receive(String text, boolean direct) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer piece = direct ? shared.clear().put(bytes).flip() : ByteBuffer.wrap(bytes);
    return host.follow(piece.order(ByteOrder.LITTLE_ENDIAN), 0, bytes.length);
  }

  @Test
  void recognizesLinesWhereverTheStreamIsSplit() {
    String text =
        "r 1\r\nLOAD 0.25\r\n\r\nLOADED\nBYE\r\nMOVE\nLOAD\r\nBYEBYE\r\nB\rx\r\nMOVE now\r\nLOAD x y\n";
    for (int first = 0; first <= text.length(); first++) {
      for (int second = first; second <= text.length(); second++) {
        boolean direct = (first + second) % 2 == 0;
        receive(text.substring(0, first), direct);
        receive(text.substring(first, second), !direct);
        receive(text.substring(second), direct);
        assertThat(parsed)
            .as("split at " + first + " and " + second)
            .containsExactly(
                "response",
                "load 0.25",
                "response",
                "response",
                "bye",
                "move",
                "load ",
                "response",
                "response",
                "move",
                "load x y");
        assertThat(host.inLine()).isFalse();
        parsed.clear();
      }
    }
  }

  @Test
  void countsALineOfMaximumLengthAsOneResponseAndIgnoresALongerOne() {
    for (int i = 0; i < 4096; i++) {
      assertThat(receive("L", true)).isFalse();
    }
    assertThat(host.isOverlong()).isFalse();
    assertThat(receive("\n", true)).isTrue();
    assertThat(parsed).containsExactly("response");
    for (int i = 0; i < 4097; i++) {
      receive("M", true);
    }
    assertThat(host.isOverlong()).isTrue();
    receive("\r\n" + "x".repeat(5_000) + "\r\nr\r\n", false);
    assertThat(parsed).containsExactly("response", "response");
  }

  @Test
  void findsEveryLineFeedAndNothingElse() {
    Random random = new Random(1);
    LineFeedScanner feeds = new LineFeedScanner();
    for (int round = 0; round < 2_000; round++) {
      int length = 1 + random.nextInt(100);
      int from = round % 2 == 0 ? 0 : random.nextInt(length);
      ByteBuffer bytes = round % 3 == 0 ? shared.clear() : ByteBuffer.allocate(length);
      bytes.order(ByteOrder.LITTLE_ENDIAN);
      List<Integer> expected = new ArrayList<>();
      for (int i = 0; i < length; i++) {
        // A search by words typically fails on values next to the line feed and on bytes above 127.
        byte value = new byte[] {'\n', '\n' + 1, '\n' - 1, (byte) 0x8a, 0, -1}[random.nextInt(6)];
        bytes.put(i, value);
        if (value == '\n' && i >= from) {
          expected.add(i);
        }
      }
      feeds.reset(bytes, from, length);
      List<Integer> found = new ArrayList<>();
      for (int at = feeds.next(from); at >= 0; at = at + 1 < length ? feeds.next(at + 1) : -1) {
        found.add(at);
      }
      assertThat(found).isEqualTo(expected);
    }
  }

  @Test
  void tracksWhetherAClientLineHasEndedAndWhetherOneHasBegun() {
    ClientLineTracker client = new ClientLineTracker();
    assertThat(client.follow(ByteBuffer.wrap("m".getBytes()), 0, 1)).isFalse();
    assertThat(client.inLine()).isTrue();
    assertThat(client.follow(ByteBuffer.wrap("\nm 2".getBytes()), 0, 4)).isTrue();
    assertThat(client.inLine()).isTrue();
    assertThat(client.follow(ByteBuffer.wrap("\r\n".getBytes()), 0, 2)).isTrue();
    assertThat(client.inLine()).isFalse();
  }
}
