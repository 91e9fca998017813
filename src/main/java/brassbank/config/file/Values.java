package brassbank.config.file;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a file says, each value checked by itself; and at which line. */
final class Values {
  private record Given(Object value, int line) {}

  private final Map<List<String>, Given> given = new LinkedHashMap<>();

  void put(List<String> path, Object value, int line) {
    given.put(path, new Given(value, line));
  }

  /** The value of a key without names of the file's in it, or its default. */
  @SuppressWarnings("unchecked") // A key's value went through the key's own kind.
  <T extends Comparable<T>> T get(Key<T> key) {
    Given found = given.get(key.path());
    return found == null ? key.defaultValue() : (T) found.value();
  }

  /** The values that the file gives for a key with one name in it, by that name. */
  @SuppressWarnings("unchecked") // As above.
  <T extends Comparable<T>> Map<String, T> byName(Key<T> key) {
    int at = key.path().indexOf(Key.ANY_NAME);
    Map<String, T> values = new LinkedHashMap<>();
    given.forEach(
        (path, found) -> {
          if (key.matches(path)) {
            values.put(path.get(at), (T) found.value());
          }
        });
    return values;
  }

  /** The line of the last of these keys that the file has, 0 where it has none. */
  int line(Key<?>... keys) {
    int line = 0;
    for (Key<?> key : keys) {
      Given found = given.get(key.path());
      line = Math.max(line, found == null ? 0 : found.line());
    }
    return line;
  }
}
