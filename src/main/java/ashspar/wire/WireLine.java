package ashspar.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A parsed line of the protocol: a word and name=value fields. The parser avoids regular
 * expressions, and the instance is reused for all lines.
 */
final class WireLine {
  private final List<String> names = new ArrayList<>();
  private final List<String> values = new ArrayList<>();
  private String word = "";

  /**
   * Parses a line.
   *
   * @throws WireException if a field has no name or value
   */
  void read(String text) {
    names.clear();
    values.clear();
    int at = text.indexOf(' ');
    word = at < 0 ? text : text.substring(0, at);
    while (at >= 0) {
      int from = at + 1;
      int end = text.indexOf(' ', from);
      int stop = end < 0 ? text.length() : end;
      int equals = text.indexOf('=', from);
      if (equals < 0 || equals >= stop) {
        throw new WireException("'" + text.substring(from, stop) + "' is not a name=value pair");
      }
      names.add(text.substring(from, equals));
      values.add(text.substring(equals + 1, stop));
      at = end;
    }
  }

  /** Returns the first word of the line. */
  String word() {
    return word;
  }

  /**
   * Returns the value of a required field.
   *
   * @throws WireException if it is missing
   */
  String text(String name) {
    String value = optional(name);
    if (value == null) {
      throw new WireException("field '" + name + "' is missing");
    }
    return value;
  }

  /** Returns the value of a field, or null if it is absent. */
  String optional(String name) {
    int at = names.indexOf(name);
    return at < 0 ? null : values.get(at);
  }

  long integer(String name) {
    return integer(name, text(name));
  }

  long integer(String name, long absent) {
    String value = optional(name);
    return value == null ? absent : integer(name, value);
  }

  double number(String name, double absent) {
    String value = optional(name);
    return value == null ? absent : number(name, value);
  }

  /**
   * Returns the comma-separated numbers of a field, NaN for empty ones; empty if the field is
   * absent.
   */
  List<Double> numbers(String name) {
    String value = optional(name);
    if (value == null || value.isEmpty()) {
      return List.of();
    }
    List<Double> row = new ArrayList<>(4);
    int from = 0;
    while (from <= value.length()) {
      int end = value.indexOf(',', from);
      int stop = end < 0 ? value.length() : end;
      row.add(stop == from ? Double.NaN : number(name, value.substring(from, stop)));
      from = stop + 1;
    }
    return row;
  }

  /** Returns all fields, in their order. */
  Map<String, String> fields() {
    Map<String, String> all = new LinkedHashMap<>();
    for (int i = 0; i < names.size(); i++) {
      all.put(names.get(i), values.get(i));
    }
    return all;
  }

  static long integer(String name, String value) {
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw new WireException("field '" + name + "' is not a whole number: '" + value + "'");
    }
  }

  static double number(String name, String value) {
    try {
      return Double.parseDouble(value);
    } catch (NumberFormatException e) {
      throw new WireException("field '" + name + "' is not a number: '" + value + "'");
    }
  }
}
