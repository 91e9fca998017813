package brassbank.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A load report on the wire, {@code NAME=VALUE,...}, put in the order that the settings give. */
final class LoadReport {
  /** Values whose names on the sockets are not those of the settings. */
  private static final Map<String, String> NAMES =
      Map.of(
          "inflight", "outstanding",
          "queue", "backlog",
          "util", "utilization",
          "latency_ms", "recent_ms",
          "qps", "throughput",
          "eps", "errors_per_s");

  private LoadReport() {}

  /** The values of these fields, NaN where one is missing; throws where the text is malformed. */
  static List<Double> parse(String text, List<String> fields) {
    Map<String, Double> values = new HashMap<>();
    for (String pair : text.split(",")) {
      int equals = pair.indexOf('=');
      if (equals <= 0) {
        throw new IllegalArgumentException("no name and value: " + pair);
      }
      String name = pair.substring(0, equals);
      double value = number(pair.substring(equals + 1));
      values.put(name, value);
      values.put(NAMES.getOrDefault(name, name), value);
    }
    List<Double> report = new ArrayList<>(fields.size());
    fields.forEach(field -> report.add(values.getOrDefault(field, Double.NaN)));
    return report;
  }

  /** A figure that a target told: finite and not negative, or it is not taken. */
  static double number(String text) {
    double value = Double.parseDouble(text);
    if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException("no figure: " + text);
    }
    return value;
  }
}
