package brassbank.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ObjectLinesTest {
  private final ObjectLines lines = new ObjectLines();

  private List<String> objects(String... text) {
    List<String> objects = new ArrayList<>();
    for (String line : text) {
      String object = lines.line(line);
      if (object != null) {
        objects.add(object.strip());
      }
    }
    return objects;
  }

  @Test
  void anObjectIsOneLineOrSeveral() {
    assertThat(objects("{\"a\":1}", "", "{", "  \"b\": [", "    2", "  ]", "}", "{\"c\":3}"))
        .containsExactly("{\"a\":1}", "{\n  \"b\": [\n    2\n  ]\n}", "{\"c\":3}");
  }

  @Test
  void bracesWithinTextDoNotCount() {
    assertThat(objects("{\"a\":\"{[\\\"{\"}", "{\"b\":\"}\"}"))
        .containsExactly("{\"a\":\"{[\\\"{\"}", "{\"b\":\"}\"}");
  }

  @Test
  void anEmptyLineEndsAnObjectThatWasCutShort() {
    assertThat(objects("{\"a\":[", "", "{\"b\":2}")).containsExactly("{\"a\":[", "{\"b\":2}");
  }

  @Test
  void whatIsNoObjectIsHandedOnAtOnce() {
    assertThat(objects("%&/", "}", "{\"b\":2}")).containsExactly("%&/", "}", "{\"b\":2}");
  }

  @Test
  void whatNeverEndsIsHandedOnBeforeItGrowsWithoutBound() {
    String part = "[" + "x".repeat(100_000);
    int taken = 0;
    while (lines.line(part) == null) {
      taken++;
      assertThat(taken).isLessThan(12);
    }
    assertThat(objects("{\"b\":2}")).containsExactly("{\"b\":2}");
  }
}
