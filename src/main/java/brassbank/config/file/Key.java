package brassbank.config.file;

import java.util.List;

/**
 * One key that a file may have.
 *
 * @param path the tables it stands in and its own name; {@code *} stands for a name that the file
 *     gives, such as a practice's
 * @param defaultValue the value where the file has no such key; null where another key then holds
 * @param description what it does, in sentences, for the reference
 */
record Key<T extends Comparable<T>>(
    List<String> path, ValueType<T> type, T defaultValue, String description) {
  static final String ANY_NAME = "*";

  String name() {
    return String.join(".", path);
  }

  String table() {
    return String.join(".", path.subList(0, path.size() - 1));
  }

  /** Whether a file's key is this one. */
  boolean matches(List<String> given) {
    return given.size() == path.size() && matchesPrefix(given);
  }

  /** Whether a file's table is one that leads to this key. */
  boolean hasParentTable(List<String> table) {
    return table.size() < path.size() && matchesPrefix(table);
  }

  private boolean matchesPrefix(List<String> given) {
    for (int i = 0; i < given.size(); i++) {
      if (!path.get(i).equals(ANY_NAME) && !path.get(i).equals(given.get(i))) {
        return false;
      }
    }
    return true;
  }
}
