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
  private final List<String> told = new ArrayList<>();
  private final HostLineParser host =
      new HostLineParser(
          new LineFeedScanner(),
          new HostLineParser.Listener() {
            @Override
            public void loadReported(String text) {
              told.add("load " + text);
            }

            @Override
            public void byeReceived() {
              told.add("bye");
            }

            @Override
            public void moveReceived() {
              told.add("moving");
            }

            @Override
            public void responseReceived() {
              told.add("answer");
            }
          });
  private final ByteBuffer shared = ByteBuffer.allocateDirect(64 * 1024);

  /** Comes as a piece of its own, in the buffer that all links share, or in one of its own. */
  private boolean come(String text, boolean direct) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer piece = direct ? shared.clear().put(bytes).flip() : ByteBuffer.wrap(bytes);
    return host.follow(piece.order(ByteOrder.LITTLE_ENDIAN), 0, bytes.length);
  }

  @Test
  void tellsLinesApartWhereverTheyAreSplit() {
    String text =
        "r 1\r\nLOAD 0.25\r\n\r\nLOADED\nBYE\r\nMOVE\nLOAD\r\nBYEBYE\r\nB\rx\r\nMOVE now\r\nLOAD x y\n";
    for (int first = 0; first <= text.length(); first++) {
      for (int second = first; second <= text.length(); second++) {
        boolean direct = (first + second) % 2 == 0;
        come(text.substring(0, first), direct);
        come(text.substring(first, second), !direct);
        come(text.substring(second), direct);
        assertThat(told)
            .as("split at " + first + " and " + second)
            .containsExactly(
                "answer",
                "load 0.25",
                "answer",
                "answer",
                "bye",
                "moving",
                "load ",
                "answer",
                "answer",
                "moving",
                "load x y");
        assertThat(host.inLine()).isFalse();
        told.clear();
      }
    }
  }

  @Test
  void takesALongLineInSingleBytesForOneAnswerAndALongerOneForNothing() {
    for (int i = 0; i < 4096; i++) {
      assertThat(come("L", true)).isFalse();
    }
    assertThat(host.isOverlong()).isFalse();
    assertThat(come("\n", true)).isTrue();
    assertThat(told).containsExactly("answer");
    for (int i = 0; i < 4097; i++) {
      come("M", true);
    }
    assertThat(host.isOverlong()).isTrue();
    come("\r\n" + "x".repeat(5_000) + "\r\nr\r\n", false);
    assertThat(told).containsExactly("answer", "answer");
  }

  @Test
  void findsEveryLineFeedAndNoOther() {
    Random random = new Random(1);
    LineFeedScanner feeds = new LineFeedScanner();
    for (int round = 0; round < 2_000; round++) {
      int length = 1 + random.nextInt(100);
      int from = round % 2 == 0 ? 0 : random.nextInt(length);
      ByteBuffer bytes = round % 3 == 0 ? shared.clear() : ByteBuffer.allocate(length);
      bytes.order(ByteOrder.LITTLE_ENDIAN);
      List<Integer> expected = new ArrayList<>();
      for (int i = 0; i < length; i++) {
        // Neighbours of the line feed in value, and bytes above 127, are what such a search gets
        // wrong.
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
  void knowsWhetherAClientsLineHasEndedAndWhetherOneHasBegun() {
    ClientLineTracker client = new ClientLineTracker();
    assertThat(client.follow(ByteBuffer.wrap("m".getBytes()), 0, 1)).isFalse();
    assertThat(client.inLine()).isTrue();
    assertThat(client.follow(ByteBuffer.wrap("\nm 2".getBytes()), 0, 4)).isTrue();
    assertThat(client.inLine()).isTrue();
    assertThat(client.follow(ByteBuffer.wrap("\r\n".getBytes()), 0, 2)).isTrue();
    assertThat(client.inLine()).isFalse();
  }
}
