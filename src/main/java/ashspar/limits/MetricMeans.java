package ashspar.limits;

import java.util.Arrays;
import java.util.List;

/** Exponential moving means of the reported metrics over all servers. Not thread-safe. */
public final class MetricMeans {
  private static final double MIN_MEAN = 1e-3;

  /** Larger values are treated as errors. */
  private static final double MAX_PLAUSIBLE = 1e6;

  private final double[] caps;
  private final double[] means;

  /**
   * Creates means without values.
   *
   * @param caps the value up to which each metric counts, so that one server with minutes of
   *     accumulated work does not dominate the mean
   */
  public MetricMeans(double... caps) {
    this.caps = caps.clone();
    means = new double[caps.length];
    Arrays.fill(means, Double.NaN);
  }

  /** Returns the mean of a metric, NaN if there is none. */
  public double mean(int metric) {
    return means[metric];
  }

  /** Adds a value of a metric with the given weight; NaN is ignored. */
  public void record(int metric, double value, double weight) {
    if (!Double.isNaN(value)) {
      double capped = Math.min(value, caps[metric]);
      double mean = means[metric];
      mean = Double.isNaN(mean) ? capped : mean + weight * (capped - mean);
      means[metric] = Math.max(MIN_MEAN, mean);
    }
  }

  /**
   * Returns the index of the first field if it is present, otherwise that of the second; -1 if
   * neither is.
   */
  public static <T> int fieldIndex(List<T> fields, T first, T second) {
    int at = fields.indexOf(first);
    return at >= 0 ? at : fields.indexOf(second);
  }

  /** Returns a field of a load report, NaN if it is absent or implausible. */
  public static double fieldValue(List<Double> row, int field) {
    if (field < 0 || field >= row.size()) {
      return Double.NaN;
    }
    double value = row.get(field);
    return value >= 0 && value < MAX_PLAUSIBLE ? value : Double.NaN;
  }
}
