package brassbank.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class LineBufferTest {
  private final LineBuffer buffer = new LineBuffer(16);

  private void receive(String text) {
    buffer.append(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  @Test
  void returnsCompleteLinesAndKeepsTheRest() {
    receive("ab\r\nc");
    assertThat(buffer.nextLine()).isEqualTo("ab");
    assertThat(buffer.nextLine()).isNull();
    assertThat(buffer.unreadBytes()).isEqualTo(1);
    receive("d\nmore");
    assertThat(buffer.nextLine()).isEqualTo("cd");
    assertThat(StandardCharsets.ISO_8859_1.decode(buffer.unread()).toString()).isEqualTo("more");
  }

  @Test
  void skipsAnOverlongLineButNotTheNextOne() {
    for (int i = 0; i < 1000; i++) {
      receive("0123456789");
      assertThat(buffer.nextLine()).isNull();
    }
    receive("BYE\r\nnext\r\n");
    assertThat(buffer.nextLine()).isEqualTo("next");
    assertThat(buffer.hasOverlongLine()).isTrue();
  }

  @Test
  void keepsEveryLineWhileItGrowsAndCompacts() {
    int linesRead = 0;
    for (int i = 0; i < 500; i++) {
      receive("line " + i + "\r\n");
      if (i % 3 == 0) {
        assertThat(buffer.nextLine()).isEqualTo("line " + linesRead++);
      }
    }
    for (; linesRead < 500; linesRead++) {
      assertThat(buffer.nextLine()).isEqualTo("line " + linesRead);
    }
    assertThat(buffer.unreadBytes()).isZero();
  }
}
