package ashspar.wire;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One line of the wire, taken apart without regular expressions; reused from line to line. */
final class WireLine {
  private final List<String> names = new ArrayList<>();
  private final List<String> values = new ArrayList<>();
  private String word = "";

  /** Reads a line of a word and name=value pairs. */
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

  String word() {
    return word;
  }

  /** The value of a field that must be there. */
  String text(String name) {
    String value = optional(name);
    if (value == null) {
      throw new WireException("field '" + name + "' is missing");
    }
    return value;
  }

  /** The value of a field, or null where it is absent. */
  String optional(String name) {
    int at = names.indexOf(name);
    return at < 0 ? null : values.get(at);
  }

  long whole(String name) {
    return whole(name, text(name));
  }

  long whole(String name, long absent) {
    String value = optional(name);
    return value == null ? absent : whole(name, value);
  }

  double number(String name, double absent) {
    String value = optional(name);
    return value == null ? absent : number(name, value);
  }

  /** A load report; an empty list where the field is absent. */
  List<Double> row(String name) {
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

  /** Every field, for the settings. */
  Map<String, String> all() {
    Map<String, String> all = new LinkedHashMap<>();
    for (int i = 0; i < names.size(); i++) {
      all.put(names.get(i), values.get(i));
    }
    return all;
  }

  static long whole(String name, String value) {
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
