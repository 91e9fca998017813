package brassbank.config.file;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The values of a file, each checked on its own, with their lines. */
final class Values {
  private record Entry(Object value, int line) {}

  private final Map<List<String>, Entry> entries = new LinkedHashMap<>();

  void put(List<String> path, Object value, int line) {
    entries.put(path, new Entry(value, line));
  }

  /** Returns the value of a key whose path has no {@code *}, or the default. */
  @SuppressWarnings("unchecked") // The value was parsed by the type of the key.
  <T extends Comparable<T>> T get(Key<T> key) {
    Entry entry = entries.get(key.path());
    return entry == null ? key.defaultValue() : (T) entry.value();
  }

  /** Returns the values of a key whose path has one {@code *}, by the name in its place. */
  @SuppressWarnings("unchecked") // As above.
  <T extends Comparable<T>> Map<String, T> byName(Key<T> key) {
    int at = key.path().indexOf(Key.ANY_NAME);
    Map<String, T> values = new LinkedHashMap<>();
    entries.forEach(
        (path, entry) -> {
          if (key.matches(path)) {
            values.put(path.get(at), (T) entry.value());
          }
        });
    return values;
  }

  /** Returns the greatest line number of these keys in the file; 0 if the file has none of them. */
  int line(Key<?>... keys) {
    int line = 0;
    for (Key<?> key : keys) {
      Entry entry = entries.get(key.path());
      line = Math.max(line, entry == null ? 0 : entry.line());
    }
    return line;
  }
}
