package brassbank.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses load reports of the form {@code NAME=VALUE,...}. */
final class LoadReport {
  private LoadReport() {}

  /**
   * Returns the values of the given fields in their order, NaN for a missing one.
   *
   * @throws IllegalArgumentException if the text is malformed
   */
  static List<Double> parse(String text, List<String> fields) {
    Map<String, Double> values = new HashMap<>();
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      if (equals <= 0) {
        throw new IllegalArgumentException("expected NAME=VALUE, found " + pair);
      }
      values.put(pair.substring(0, equals), parseValue(pair.substring(equals + 1)));
    }
    List<Double> report = new ArrayList<>(fields.size());
    fields.forEach(field -> report.add(values.getOrDefault(field, Double.NaN)));
    return report;
  }

  /**
   * Parses a value that a target reported.
   *
   * @throws IllegalArgumentException if the value is not a number, not finite or negative
   */
  static double parseValue(String text) {
    double value = Double.parseDouble(text);
    if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException("expected a finite value of 0 or more, found " + text);
    }
    return value;
  }
}
