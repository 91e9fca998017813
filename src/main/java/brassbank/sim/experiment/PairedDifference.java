package brassbank.sim.experiment;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * The mean difference between two variants on the same seeds, with the 95% confidence interval of
 * Student's t distribution over the pairs.
 *
 * @param mean mean of the second variant minus the first
 * @param halfWidth half of the width of the interval; infinite for a single pair
 */
public record PairedDifference(double mean, double halfWidth) {
  private static final double BOTH_TAILS = 0.975;

  /**
   * Computes the difference of two series in the same order of seeds.
   *
   * @throws IllegalArgumentException if the series differ in length or are empty
   */
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

  /** Returns whether the interval excludes zero. */
  public boolean isSignificant() {
    return Math.abs(mean) > halfWidth;
  }
}
