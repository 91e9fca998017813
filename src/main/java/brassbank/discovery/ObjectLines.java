package brassbank.discovery;

/**
 * Puts the objects of a watch together: one a line, or over several lines where they are indented.
 * An empty line comes between two objects and never within one, so that it ends one that was cut
 * short, which is then handed on as it is: its reader must not wait for the rest.
 *
 * <p>What is kept is bounded. For one thread at a time.
 */
final class ObjectLines {
  /** Far more than a list of targets needs; what is longer is handed on as it is. */
  private static final int LONGEST = 1 << 20;

  private final StringBuilder begun = new StringBuilder();
  private int depth;
  private boolean quoted;
  private boolean escaped;

  /** Takes a line; returns the text of an object that ends with it, or null. */
  String line(String line) {
    if (line.isBlank() && begun.isEmpty()) {
      return null;
    }
    boolean cut = line.isBlank();
    follow(line);
    begun.append(line).append('\n');
    if (depth > 0 && !cut && begun.length() <= LONGEST) {
      return null;
    }
    String object = begun.toString();
    begun.setLength(0);
    depth = 0;
    quoted = false;
    escaped = false;
    return object;
  }

  private void follow(String line) {
    for (int i = 0; i < line.length(); i++) {
      char c = line.charAt(i);
      if (quoted) {
        quoted = escaped || c != '"';
        escaped = !escaped && c == '\\';
      } else if (c == '"') {
        quoted = true;
      } else if (c == '{' || c == '[') {
        depth++;
      } else if (c == '}' || c == ']') {
        depth--;
      }
    }
  }
}
