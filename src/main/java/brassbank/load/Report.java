package brassbank.load;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Collects the figures of all rounds, and prints their medians with one column for each route. */
final class Report {
  /** One figure of one measurement, with a value for each round in each column. */
  private record Figure(
      String measurement, String name, String unit, Map<String, List<Double>> valuesByColumn) {}

  private final List<Figure> figures = new ArrayList<>();

  /** Adds the value of one round. */
  void add(String measurement, String name, String unit, String column, double value) {
    figures.stream()
        .filter(figure -> figure.measurement.equals(measurement) && figure.name.equals(name))
        .findFirst()
        .orElseGet(
            () -> {
              Figure figure = new Figure(measurement, name, unit, new LinkedHashMap<>());
              figures.add(figure);
              return figure;
            })
        .valuesByColumn
        .computeIfAbsent(column, key -> new ArrayList<>())
        .add(value);
  }

  static double median(List<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    int half = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
  }

  /**
   * Returns a table of medians. Each column but the first is followed by its ratio to the first
   * column and its difference from it.
   */
  String text() {
    StringBuilder text = new StringBuilder();
    String previousHeader = "";
    for (Figure figure : figures) {
      List<String> names = List.copyOf(figure.valuesByColumn.keySet());
      String header = figure.measurement + names;
      if (!header.equals(previousHeader)) {
        previousHeader = header;
        text.append(text.isEmpty() ? "" : "\n");
        text.append(String.format("%-12s%-30s%12s", figure.measurement, "", names.get(0)));
        for (String name : names.subList(1, names.size())) {
          text.append(String.format("%12s%8s%12s", name, "ratio", "more"));
        }
        text.append(System.lineSeparator());
      }
      double[] medians =
          figure.valuesByColumn.values().stream().mapToDouble(Report::median).toArray();
      text.append(
          String.format("%-12s%-23s%-7s%12s", "", figure.name, figure.unit, format(medians[0])));
      for (int i = 1; i < medians.length; i++) {
        String ratio =
            medians[0] == 0 ? "" : String.format(Locale.ROOT, "%.2f", medians[i] / medians[0]);
        text.append(
            String.format(
                "%12s%8s%12s", format(medians[i]), ratio, format(medians[i] - medians[0])));
      }
      text.append(System.lineSeparator());
    }
    return text.toString();
  }

  private static String format(double value) {
    return Double.isNaN(value)
        ? "unknown"
        : String.format(Locale.ROOT, Math.abs(value) < 100 ? "%.2f" : "%.0f", value);
  }

  /** Returns the values of all rounds and their medians as JSON. */
  String json() {
    List<Map<String, Object>> entries = new ArrayList<>();
    for (Figure figure : figures) {
      Map<String, Object> entry = new LinkedHashMap<>();
      entry.put("measurement", figure.measurement);
      entry.put("figure", figure.name);
      entry.put("unit", figure.unit);
      Map<String, Double> medians = new LinkedHashMap<>();
      figure.valuesByColumn.forEach((column, values) -> medians.put(column, median(values)));
      entry.put("median", medians);
      entry.put("rounds", figure.valuesByColumn);
      entries.add(entry);
    }
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("java", Runtime.version().toString());
    document.put("processors", Runtime.getRuntime().availableProcessors());
    document.put("figures", entries);
    Gson gson =
        new GsonBuilder().setPrettyPrinting().serializeSpecialFloatingPointValues().create();
    return gson.toJson(document);
  }
}
