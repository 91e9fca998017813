package brassbank.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Compares the operators' page docs/log.md with the log calls in the code. */
class EventsTest {
  private static final Pattern CALL = Pattern.compile("\\bLOG\\s*\\.(info|warn|error)\\(");
  private static final Pattern LITERAL = Pattern.compile("\\s*\"([a-z]+(?:-[a-z]+)*)\"");
  private static final Pattern FIELD =
      Pattern.compile("\\b(?:(flow|target)|value)\\((?:\\s*\"([a-z_]+)\",)?");
  private static final Pattern ROW =
      Pattern.compile("\\| `([a-z-]+)` \\| (info|warn|error) \\| ([a-z_, -]*?) *\\|.*\\|.*\\|");

  @Test
  void thePageListsEachEventWithItsLevelAndFields() throws IOException {
    Map<String, String> logged = new TreeMap<>();
    try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
      for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
        collect(Files.readString(file), logged);
      }
    }
    assertThat(logged).hasSizeGreaterThan(20);
    // The log package itself creates these two.
    logged.put("lines-left-out", "warn [info, warn, error]");
    logged.put("library-line", "warn [logger, text]");
    Map<String, String> documented = new TreeMap<>();
    for (String line : Files.readAllLines(Path.of("docs/log.md"))) {
      Matcher row = ROW.matcher(line);
      if (row.matches()) {
        List<String> fields =
            row.group(3).equals("-") ? List.of() : List.of(row.group(3).split(", "));
        documented.put(row.group(1), row.group(2) + " " + fields);
      }
    }
    assertThat(documented).isEqualTo(logged);
  }

  private static void collect(String text, Map<String, String> into) {
    Matcher call = CALL.matcher(text);
    while (call.find()) {
      String rest = text.substring(call.end(), text.indexOf(';', call.end()));
      Matcher name = LITERAL.matcher(rest);
      assertThat(name.lookingAt()).as("the event name is no string literal: %s", rest).isTrue();
      List<String> fields = new ArrayList<>();
      Matcher field = FIELD.matcher(rest.substring(name.end()));
      while (field.find()) {
        if (field.group(1) != null || field.group(2) != null) {
          fields.add(field.group(1) != null ? field.group(1) : field.group(2));
        }
      }
      assertThat(fields)
          .doesNotHaveDuplicates()
          .doesNotContain("time", "level", "component", "event", "cause");
      String before = into.put(name.group(1), call.group(1) + " " + fields);
      assertThat(before)
          .as("%s is logged with other fields elsewhere", name.group(1))
          .isIn(null, into.get(name.group(1)));
    }
  }
}
