package brassbank.front;

import brassbank.decide.Flow;
import java.util.LinkedHashMap;
import java.util.Map;

/** The first line of a client, {@code OPEN ID KEY NAME=VALUE,...}, taken apart and checked. */
final class OpenLine {
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
    if (parts[1].isEmpty() || parts[2].isEmpty()) {
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
    if (!values.containsKey("c") || open.deadlineMillis() < 0 || !(open.hint() >= 0)) {
      throw new IllegalArgumentException("c, d or h is not valid");
    }
    return open;
  }

  /** How long the client waits, from the sending of the line. */
  long deadlineMillis() {
    String text = values.get("d");
    long millis = text == null ? -1 : Long.parseLong(text);
    if (millis > Integer.MAX_VALUE) {
      throw new IllegalArgumentException("d is too long");
    }
    return millis;
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
