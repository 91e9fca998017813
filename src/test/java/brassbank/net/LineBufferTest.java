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
  void givesLinesInPiecesAndAllBytesOnce() {
    come("ab\r\nc");
    assertThat(buffer.fresh()).asString().isEqualTo("ab\r\nc");
    assertThat(buffer.nextLine()).isEqualTo("ab");
    assertThat(buffer.nextLine()).isNull();
    assertThat(buffer.atLineEnd()).isFalse();
    come("d\n");
    assertThat(buffer.fresh()).asString().isEqualTo("d\n");
    assertThat(buffer.nextLine()).isEqualTo("cd");
    assertThat(buffer.atLineEnd()).isTrue();
  }

  @Test
  void skipsAnOverlongLineAndNotTheNext() {
    for (int i = 0; i < 1000; i++) {
      come("0123456789");
      buffer.fresh();
      assertThat(buffer.nextLine()).isNull();
    }
    come("BYE\r\nnext\r\n");
    assertThat(buffer.nextLine()).isEqualTo("next");
    assertThat(buffer.overlong()).isTrue();
  }

  @Test
  void keepsEveryByteWhileItGrowsAndCompacts() {
    StringBuilder passed = new StringBuilder();
    for (int i = 0; i < 500; i++) {
      come("line " + i + "\r\n");
      if (i % 7 == 0) {
        passed.append(new String(buffer.fresh(), StandardCharsets.ISO_8859_1));
      }
      if (i % 3 == 0) {
        assertThat(buffer.nextLine()).isEqualTo("line " + i / 3);
      }
    }
    passed.append(new String(buffer.fresh(), StandardCharsets.ISO_8859_1));
    assertThat(passed.toString().lines()).hasSize(500).last().isEqualTo("line 499");
  }
}
