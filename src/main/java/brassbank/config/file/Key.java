package brassbank.config.file;

import java.util.List;

/**
 * The declaration of a key of the file.
 *
 * @param path the names of the enclosing tables and of the key; {@code *} matches any name, such as
 *     that of a practice
 * @param type the type, unit and bounds of the value
 * @param defaultValue the value if the file does not have the key; null for none
 * @param description the description for the reference, in sentences
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

  /** Returns whether a path of the file denotes this key. */
  boolean matches(List<String> given) {
    return given.size() == path.size() && matchesPrefix(given);
  }

  /** Returns whether a table of the file is an ancestor of this key. */
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
