package brassbank.discovery;

/**
 * Assembles the JSON objects of a watch from lines. An object takes one line, or several if it is
 * indented. An empty line occurs between objects and never within one, so that it ends an object
 * that was cut short, which is returned as it is: its reader must not wait for the rest.
 *
 * <p>The memory for a partial object is bounded. Not thread-safe.
 */
final class JsonObjectAssembler {
  /** Far more than a target list needs; a longer partial object is returned as it is. */
  private static final int MAX_OBJECT_CHARS = 1 << 20;

  private final StringBuilder partial = new StringBuilder();

  /** The nesting depth of braces and brackets. */
  private int depth;

  private boolean isInString;
  private boolean isEscaped;

  /** Adds a line and returns the text of the object that ends with it, or null if none does. */
  String add(String line) {
    if (line.isBlank() && partial.isEmpty()) {
      return null;
    }
    boolean isCutShort = line.isBlank();
    scan(line);
    partial.append(line).append('\n');
    if (depth > 0 && !isCutShort && partial.length() <= MAX_OBJECT_CHARS) {
      return null;
    }
    String object = partial.toString();
    partial.setLength(0);
    depth = 0;
    isInString = false;
    isEscaped = false;
    return object;
  }

  /** Updates the nesting depth, ignoring braces and brackets within strings. */
  private void scan(String line) {
    for (int i = 0; i < line.length(); i++) {
      char c = line.charAt(i);
      if (isInString) {
        isInString = isEscaped || c != '"';
        isEscaped = !isEscaped && c == '\\';
      } else if (c == '"') {
        isInString = true;
      } else if (c == '{' || c == '[') {
        depth++;
      } else if (c == '}' || c == ']') {
        depth--;
      }
    }
  }
}
