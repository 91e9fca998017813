package ashspar.limits;

import java.util.Arrays;
import java.util.List;

/** Moving means over all servers of what their reports tell. For one thread at a time. */
public final class Means {
  private static final double LEAST = 1e-3;

  /** No report tells of as much. */
  private static final double UNLIKELY = 1e6;

  private final double[] most;
  private final double[] means;

  /**
   * @param most what each metric counts at most: one server with minutes of work piled up must not
   *     hide the rest from the mean
   */
  public Means(double... most) {
    this.most = most.clone();
    means = new double[most.length];
    Arrays.fill(means, Double.NaN);
  }

  /** The mean of a metric, NaN while there is none. */
  public double of(int metric) {
    return means[metric];
  }

  /** One more value of a metric, NaN for none, with this weight in the mean. */
  public void tell(int metric, double value, double share) {
    if (!Double.isNaN(value)) {
      double capped = Math.min(value, most[metric]);
      double mean = means[metric];
      mean = Double.isNaN(mean) ? capped : mean + share * (capped - mean);
      means[metric] = Math.max(LEAST, mean);
    }
  }

  /** Where a report has the first of two kinds of field, or else the second; -1 for neither. */
  public static <T> int field(List<T> fields, T first, T second) {
    int at = fields.indexOf(first);
    return at >= 0 ? at : fields.indexOf(second);
  }

  /** A field of a report, NaN where the report has none that can be true. */
  public static double value(List<Double> row, int field) {
    if (field < 0 || field >= row.size()) {
      return Double.NaN;
    }
    double value = row.get(field);
    return value >= 0 && value < UNLIKELY ? value : Double.NaN;
  }
}
