package brassbank.front;

import brassbank.decide.Flow;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** The first line of a client, {@code OPEN ID KEY NAME=VALUE,...}, taken apart and checked. */
final class OpenLine {
  private static final Pattern NAME = Pattern.compile("[!-~]{1,64}");

  /** Milliseconds: digits only, and no more than eleven days. */
  private static final Pattern DEADLINE = Pattern.compile("\\d{1,9}");

  /** A figure as it is told, finite and not negative. */
  private static final Pattern FIGURE = Pattern.compile("\\d{1,18}(\\.\\d+)?([eE][+-]?\\d{1,2})?");

  private final String id;
  private final String key;
  private final Map<String, String> values;

  private OpenLine(String id, String key, Map<String, String> values) {
    this.id = id;
    this.key = key;
    this.values = values;
  }

  /** Throws IllegalArgumentException on whatever a target must not be sent. */
  static OpenLine parse(String line) {
    for (int i = 0; i < line.length(); i++) {
      if (line.charAt(i) < ' ' || line.charAt(i) > '~') {
        throw new IllegalArgumentException("not plain text");
      }
    }
    String[] parts = line.split(" ", -1);
    if (parts.length != 4 || !parts[0].equals("OPEN")) {
      throw new IllegalArgumentException("not OPEN ID KEY VALUES");
    }
    if (!NAME.matcher(parts[1]).matches() || !NAME.matcher(parts[2]).matches()) {
      throw new IllegalArgumentException("no id or no key");
    }
    Map<String, String> values = new LinkedHashMap<>();
    for (String pair : parts[3].split(",", -1)) {
      int equals = pair.indexOf('=');
      if (equals <= 0
          || values.put(pair.substring(0, equals), pair.substring(equals + 1)) != null) {
        throw new IllegalArgumentException("not a list of names and values");
      }
    }
    OpenLine open = new OpenLine(parts[1], parts[2], values);
    if (!values.containsKey("c")
        || !DEADLINE.matcher(values.getOrDefault("d", "")).matches()
        || !FIGURE.matcher(values.getOrDefault("h", "0")).matches()) {
      throw new IllegalArgumentException("c, d or h is not valid");
    }
    return open;
  }

  String id() {
    return id;
  }

  /** How long the client waits, from the sending of the line. */
  long deadlineMillis() {
    return Long.parseLong(values.get("d"));
  }

  private double hint() {
    return values.containsKey("h") ? Double.parseDouble(values.get("h")) : 0;
  }

  Flow flow(long number, long leftMicros) {
    String tenant = values.get("t");
    return new Flow(
        number,
        key,
        values.get("c"),
        tenant == null || tenant.isEmpty() ? null : tenant,
        values.get("g"),
        leftMicros,
        hint(),
        "1".equals(values.get("r")),
        "1".equals(values.get("again")),
        values.get("at"));
  }

  /** The same line for a target, but for how long the proxy will wait. */
  String withDeadline(long millis) {
    StringBuilder line = new StringBuilder("OPEN ").append(id).append(' ').append(key);
    char before = ' ';
    for (Map.Entry<String, String> value : values.entrySet()) {
      line.append(before).append(value.getKey()).append('=');
      line.append(value.getKey().equals("d") ? String.valueOf(millis) : value.getValue());
      before = ',';
    }
    return line.toString();
  }
}
