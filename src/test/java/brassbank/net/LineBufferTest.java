package brassbank.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class LineBufferTest {
  private final LineBuffer buffer = new LineBuffer(16);

  private void come(String text) {
    buffer.append(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  @Test
  void givesWholeLinesAndKeepsTheRest() {
    come("ab\r\nc");
    assertThat(buffer.nextLine()).isEqualTo("ab");
    assertThat(buffer.nextLine()).isNull();
    assertThat(buffer.unreadBytes()).isEqualTo(1);
    come("d\nmore");
    assertThat(buffer.nextLine()).isEqualTo("cd");
    assertThat(StandardCharsets.ISO_8859_1.decode(buffer.unread()).toString()).isEqualTo("more");
  }

  @Test
  void skipsAnOverlongLineAndNotTheNext() {
    for (int i = 0; i < 1000; i++) {
      come("0123456789");
      assertThat(buffer.nextLine()).isNull();
    }
    come("BYE\r\nnext\r\n");
    assertThat(buffer.nextLine()).isEqualTo("next");
    assertThat(buffer.hasOverlongLine()).isTrue();
  }

  @Test
  void keepsEveryLineWhileItGrowsAndCompacts() {
    int taken = 0;
    for (int i = 0; i < 500; i++) {
      come("line " + i + "\r\n");
      if (i % 3 == 0) {
        assertThat(buffer.nextLine()).isEqualTo("line " + taken++);
      }
    }
    for (; taken < 500; taken++) {
      assertThat(buffer.nextLine()).isEqualTo("line " + taken);
    }
    assertThat(buffer.unreadBytes()).isZero();
  }
}
