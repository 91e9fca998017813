package brassbank.config.file;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** Reads a file and reports all its problems at once. */
public final class OptionsFile {
  /** A larger file is assumed to be another file, named by mistake. */
  private static final long MAX_FILE_BYTES = 1 << 20;

  /** After this many lines with syntax errors the file is assumed to be of another kind. */
  private static final int MAX_SYNTAX_ERRORS = 50;

  /** The greatest edit distance at which a key is suggested for an unknown one. */
  private static final int MAX_SUGGESTION_DISTANCE = 3;

  private final String name;
  private final Values values = new Values();
  private final List<Problem> problems = new ArrayList<>();

  private OptionsFile(String name) {
    this.name = name;
  }

  /**
   * The result of reading a file.
   *
   * @param options the values, if there is no problem
   * @param problems all problems, ordered by line
   */
  public record Result(Optional<Options> options, List<Problem> problems) {}

  /** Reads a file. A file that cannot be read is reported as a problem, not by an exception. */
  public static Result read(Path path) {
    OptionsFile file = new OptionsFile(path.toString());
    String text = file.text(path);
    return text == null ? file.result() : file.parse(text);
  }

  /** Parses a text; the name stands for the file in the problems. */
  static Result parse(String name, String text) {
    return new OptionsFile(name).parse(text);
  }

  private String text(Path path) {
    try {
      if (Files.size(path) > MAX_FILE_BYTES) {
        problem(0, "is larger than 1 MiB");
        return null;
      }
      return Files.readString(path, StandardCharsets.UTF_8);
    } catch (NoSuchFileException e) {
      problem(0, "no such file");
    } catch (CharacterCodingException e) {
      problem(0, "is not UTF-8");
    } catch (IOException e) {
      problem(0, "cannot be read: " + e.getMessage());
    }
    return null;
  }

  private Result parse(String text) {
    TomlParseResult toml = Toml.parse(text);
    List<String> lines = new ArrayList<>(text.lines().toList());
    boolean complete = true;
    // The library stops at the first syntax error. Removing the faulty line and parsing again finds
    // the next one.
    while (toml.hasErrors() && complete && problems.size() < MAX_SYNTAX_ERRORS) {
      boolean removed = false;
      for (TomlParseError error : toml.errors()) {
        int line = error.position().line();
        problem(line, error.getMessage());
        if (line <= lines.size() && !lines.get(line - 1).isEmpty()) {
          removed = true;
          // Without the header of a table, its keys would be reported as keys of another table.
          complete &= !lines.get(line - 1).stripLeading().startsWith("[");
          lines.set(line - 1, "");
        }
      }
      complete &= removed;
      toml = Toml.parse(String.join("\n", lines));
    }
    if (!toml.hasErrors() && complete) {
      TomlParseResult readable = toml;
      readable.entryPathSet(true).forEach(entry -> entry(readable, entry));
    }
    if (problems.isEmpty()) {
      Options options = Options.of(values, this::problem);
      if (problems.isEmpty()) {
        return new Result(Optional.of(options), List.of());
      }
    }
    return result();
  }

  private Result result() {
    problems.sort(Comparator.comparingInt(Problem::line));
    return new Result(Optional.empty(), List.copyOf(problems));
  }

  private void problem(int line, String text) {
    problems.add(new Problem(name, line, text));
  }

  private void entry(TomlParseResult toml, Map.Entry<List<String>, Object> entry) {
    List<String> path = entry.getKey();
    int line = toml.inputPositionOf(path).line();
    Optional<Key<?>> key =
        Keys.all().stream().filter(candidate -> candidate.matches(path)).findFirst();
    if (key.isPresent()) {
      try {
        Object value = entry.getValue();
        values.put(
            path,
            key.get().type().read(value instanceof TomlArray all ? all.toList() : value),
            line);
      } catch (IllegalArgumentException e) {
        problem(line, Toml.joinKeyPath(path) + " " + e.getMessage());
      }
    } else if (Keys.all().stream().anyMatch(candidate -> candidate.hasParentTable(path))) {
      if (!(entry.getValue() instanceof TomlTable)) {
        problem(line, Toml.joinKeyPath(path) + " is a table, not a value");
      }
    } else if (!isBelowUnknown(path)) {
      problem(line, "there is no key " + Toml.joinKeyPath(path) + suggestion(path));
    }
  }

  /** Returns whether a key is in an unknown table; only the table is reported then. */
  private static boolean isBelowUnknown(List<String> path) {
    List<String> table = path.subList(0, path.size() - 1);
    return !table.isEmpty() && Keys.all().stream().noneMatch(key -> key.hasParentTable(table));
  }

  private static String suggestion(List<String> path) {
    String given = String.join(".", path);
    return Keys.all().stream()
        .map(Key::name)
        .min(Comparator.comparingInt(name -> editDistance(name, given)))
        .filter(name -> editDistance(name, given) <= MAX_SUGGESTION_DISTANCE)
        .map(name -> "; did you mean " + name + "?")
        .orElse("");
  }

  /** Returns the Levenshtein distance of two strings, computed row by row. */
  private static int editDistance(String one, String other) {
    int[] row = new int[other.length() + 1];
    for (int j = 0; j < row.length; j++) {
      row[j] = j;
    }
    for (int i = 1; i <= one.length(); i++) {
      int diagonal = row[0];
      row[0] = i;
      for (int j = 1; j < row.length; j++) {
        int changed = diagonal + (one.charAt(i - 1) == other.charAt(j - 1) ? 0 : 1);
        diagonal = row[j];
        row[j] = Math.min(changed, 1 + Math.min(row[j], row[j - 1]));
      }
    }
    return row[other.length()];
  }
}
