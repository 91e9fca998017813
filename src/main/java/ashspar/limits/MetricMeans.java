package ashspar.limits;

import java.util.Arrays;
import java.util.List;

/** Moving means over all servers of what their reports tell. For one thread at a time. */
public final class MetricMeans {
  private static final double MIN_MEAN = 1e-3;

  /** No report tells of as much. */
  private static final double MAX_PLAUSIBLE = 1e6;

  private final double[] caps;
  private final double[] means;

  /**
   * @param most what each metric counts at most: one server with minutes of work piled up must not
   *     hide the rest from the mean
   */
  public MetricMeans(double... most) {
    this.caps = most.clone();
    means = new double[most.length];
    Arrays.fill(means, Double.NaN);
  }

  /** The mean of a metric, NaN while there is none. */
  public double mean(int metric) {
    return means[metric];
  }

  /** One more value of a metric, NaN for none, with this weight in the mean. */
  public void record(int metric, double value, double share) {
    if (!Double.isNaN(value)) {
      double capped = Math.min(value, caps[metric]);
      double mean = means[metric];
      mean = Double.isNaN(mean) ? capped : mean + share * (capped - mean);
      means[metric] = Math.max(MIN_MEAN, mean);
    }
  }

  /** Where a report has the first of two kinds of field, or else the second; -1 for neither. */
  public static <T> int fieldIndex(List<T> fields, T first, T second) {
    int at = fields.indexOf(first);
    return at >= 0 ? at : fields.indexOf(second);
  }

  /** A field of a report, NaN where the report has none that can be true. */
  public static double fieldValue(List<Double> row, int field) {
    if (field < 0 || field >= row.size()) {
      return Double.NaN;
    }
    double value = row.get(field);
    return value >= 0 && value < MAX_PLAUSIBLE ? value : Double.NaN;
  }
}
