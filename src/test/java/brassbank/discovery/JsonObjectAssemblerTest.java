package brassbank.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonObjectAssemblerTest {
  private final JsonObjectAssembler assembler = new JsonObjectAssembler();

  private List<String> objects(String... text) {
    List<String> objects = new ArrayList<>();
    for (String line : text) {
      String object = assembler.add(line);
      if (object != null) {
        objects.add(object.strip());
      }
    }
    return objects;
  }

  @Test
  void objectTakesOneLineOrSeveral() {
    assertThat(objects("{\"a\":1}", "", "{", "  \"b\": [", "    2", "  ]", "}", "{\"c\":3}"))
        .containsExactly("{\"a\":1}", "{\n  \"b\": [\n    2\n  ]\n}", "{\"c\":3}");
  }

  @Test
  void ignoresBracesWithinStrings() {
    assertThat(objects("{\"a\":\"{[\\\"{\"}", "{\"b\":\"}\"}"))
        .containsExactly("{\"a\":\"{[\\\"{\"}", "{\"b\":\"}\"}");
  }

  @Test
  void emptyLineEndsAnObjectThatWasCutShort() {
    assertThat(objects("{\"a\":[", "", "{\"b\":2}")).containsExactly("{\"a\":[", "{\"b\":2}");
  }

  @Test
  void returnsTextThatIsNoObjectAtOnce() {
    assertThat(objects("%&/", "}", "{\"b\":2}")).containsExactly("%&/", "}", "{\"b\":2}");
  }

  @Test
  void returnsAnEndlessObjectBeforeItExceedsTheBound() {
    String part = "[" + "x".repeat(100_000);
    int linesAdded = 0;
    while (assembler.add(part) == null) {
      linesAdded++;
      assertThat(linesAdded).isLessThan(12);
    }
    assertThat(objects("{\"b\":2}")).containsExactly("{\"b\":2}");
  }
}
