package brassbank.front;

import brassbank.decide.Flow;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/** A client's first line, {@code OPEN ID KEY NAME=VALUE,...}, parsed and validated. */
final class OpenRequest {
  /** A flow id or a key. */
  private static final Pattern TOKEN = Pattern.compile("[!-~]{1,64}");

  /** Milliseconds, digits only; nine digits are less than twelve days. */
  private static final Pattern MILLIS = Pattern.compile("\\d{1,9}");

  /** A finite number of 0 or more. */
  private static final Pattern NUMBER = Pattern.compile("\\d{1,18}(\\.\\d+)?([eE][+-]?\\d{1,2})?");

  private final String id;
  private final String key;
  private final Map<String, String> values;

  private OpenRequest(String id, String key, Map<String, String> values) {
    this.id = id;
    this.key = key;
    this.values = values;
  }

  /**
   * Parses a line and rejects any that must not be forwarded to a target.
   *
   * @throws IllegalArgumentException if the line is malformed; the message is sent to the client
   */
  static OpenRequest parse(String line) {
    for (int i = 0; i < line.length(); i++) {
      if (line.charAt(i) < ' ' || line.charAt(i) > '~') {
        throw new IllegalArgumentException("not plain text");
      }
    }
    String[] parts = line.split(" ", -1);
    if (parts.length != 4 || !parts[0].equals("OPEN")) {
      throw new IllegalArgumentException("not OPEN ID KEY VALUES");
    }
    if (!TOKEN.matcher(parts[1]).matches() || !TOKEN.matcher(parts[2]).matches()) {
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
    OpenRequest open = new OpenRequest(parts[1], parts[2], values);
    if (!values.containsKey("c")
        || !MILLIS.matcher(values.getOrDefault("d", "")).matches()
        || !NUMBER.matcher(values.getOrDefault("h", "0")).matches()) {
      throw new IllegalArgumentException("c, d or h is not valid");
    }
    return open;
  }

  String id() {
    return id;
  }

  /** Returns how long the client waits, counted from when it sent the line. */
  long timeoutMillis() {
    return Long.parseLong(values.get("d"));
  }

  private double hint() {
    return values.containsKey("h") ? Double.parseDouble(values.get("h")) : 0;
  }

  /**
   * Returns the flow of this request.
   *
   * @param number the number of the flow in this process
   * @param remainingMicros how much longer the client waits
   */
  Flow toFlow(long number, long remainingMicros) {
    String tenant = values.get("t");
    return new Flow(
        number,
        key,
        values.get("c"),
        tenant == null || tenant.isEmpty() ? null : tenant,
        values.get("g"),
        remainingMicros,
        hint(),
        "1".equals(values.get("r")),
        "1".equals(values.get("again")),
        values.get("at"));
  }

  /** Returns the line for a target, which differs only in how long the proxy waits. */
  String toLine(long millis) {
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
