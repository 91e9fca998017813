package brassbank.sim.experiment;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * Two variants on the same seeds: the mean of the differences, with the 95% interval of Student's t
 * over the pairs.
 *
 * @param mean of the second less the first
 * @param halfWidth the interval's half width; infinite for a single pair
 */
public record PairedDifference(double mean, double halfWidth) {
  private static final double BOTH_TAILS = 0.975;

  /** Of as many values, in the same order of seeds. */
  public static PairedDifference of(double[] first, double[] second) {
    if (first.length != second.length || first.length == 0) {
      throw new IllegalArgumentException(first.length + " values against " + second.length);
    }
    SummaryStatistics differences = new SummaryStatistics();
    for (int i = 0; i < first.length; i++) {
      differences.addValue(second[i] - first[i]);
    }
    long pairs = differences.getN();
    if (pairs == 1) {
      return new PairedDifference(differences.getMean(), Double.POSITIVE_INFINITY);
    }
    double t = new TDistribution(null, pairs - 1.0).inverseCumulativeProbability(BOTH_TAILS);
    return new PairedDifference(
        differences.getMean(), t * differences.getStandardDeviation() / Math.sqrt(pairs));
  }

  /** Whether the interval leaves out no difference at all. */
  public boolean isSignificant() {
    return Math.abs(mean) > halfWidth;
  }
}
