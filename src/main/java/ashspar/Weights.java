package ashspar;

import ashspar.Balancer.Metric;
import ashspar.Balancer.SizeMeaning;
import ashspar.Balancer.State;
import ashspar.limits.ConnectionLifetimes;
import ashspar.limits.MetricMeans;
import java.util.List;

/**
 * The load metric index and the weight computation function (Goldszmidt and Hunt, section 4):
 * compares the load reports of each server with the mean over all servers and derives the server's
 * weight.
 */
final class Weights {
  // The share of the new weight in the next one; damps oscillation.
  private static final double SMOOTHING = 0.6;

  /**
   * The mean change of the weights, relative to the mean weight, from which new weights take
   * effect.
   */
  private static final double COMMIT_THRESHOLD = 0.02;

  /** The indices of the metrics, in the order of every array of metrics. */
  static final int LOAD = 0;

  private static final int BACKLOG = 1;
  private static final int LATENCY = 2;

  /**
   * The relative importance R(i) of each metric. With the two values below they sum to 1; the
   * importance of a disabled metric is distributed to the others.
   */
  private static final double[] IMPORTANCE = {0.6, 0.15, 0.05};

  private static final double PLACEMENTS_IMPORTANCE = 0.05;
  private static final double SIZE_IMPORTANCE = 0.15;
  private static final double TURNS_LOST_PER_PRICE_POINT = 150; // of a server in another zone
  // Lower indices count as this, which bounds the weight.
  private static final double MIN_INDEX = 0.4;

  private static final long REPORT_EXPIRY_MICROS = 12 * Node.SECOND; // an older report is ignored
  // The deviation of a report from the mean decays by 1/e in this time.
  private static final double REPORT_DECAY_MICROS = 6.0 * Node.SECOND;

  /**
   * The placements added to each server's count and to the mean, which damps the noise of small
   * counts.
   */
  private static final double PLACEMENTS_PRIOR = 4;

  private final Node node;
  private final int[] fields = new int[IMPORTANCE.length];
  // The value up to which each metric counts.
  private final MetricMeans means = new MetricMeans(1.5, 10, 1e4);
  double meanSize = 1;
  private double meanPlacements;

  Weights(Node node) {
    this.node = node;
  }

  /** Finds the metrics among the configured fields of load reports. */
  void configure() {
    List<Metric> reported = node.settings.reportFields();
    fields[LOAD] = MetricMeans.fieldIndex(reported, Metric.LOAD, Metric.UTILIZATION);
    fields[BACKLOG] = MetricMeans.fieldIndex(reported, Metric.BACKLOG_S, Metric.QUEUE);
    fields[LATENCY] = reported.indexOf(Metric.LATENCY_MS);
  }

  /**
   * Returns L(S), the weighted sum of the metrics, each as a multiple of its mean over the servers.
   */
  private double loadIndex(Server s) {
    double sum = 0;
    double weights = 0;
    long age = node.now - s.reportedAt;
    if (age <= REPORT_EXPIRY_MICROS) {
      double relevance = Math.exp(-Math.max(0, age - Node.TICK_MICROS) / REPORT_DECAY_MICROS);
      for (int m = 0; m < IMPORTANCE.length; m++) {
        if (!Double.isNaN(s.metrics[m]) && means.mean(m) > 0) {
          double value = Math.max(0, s.metrics[m] + (m == LOAD ? s.limits.unreportedLoad() : 0));
          sum += IMPORTANCE[m] * (1 + (value / means.mean(m) - 1) * relevance);
          weights += IMPORTANCE[m];
        }
      }
    }
    if (node.settings.sizeMeaning() == SizeMeaning.LIVE) {
      sum += SIZE_IMPORTANCE * meanSize / Math.max(s.size, 1e-3 * meanSize);
      weights += SIZE_IMPORTANCE;
    }
    // A node places few connections, so its own count is shrunk towards the mean.
    sum +=
        PLACEMENTS_IMPORTANCE
            * (s.recentPlacements + PLACEMENTS_PRIOR)
            / (meanPlacements + PLACEMENTS_PRIOR);
    weights += PLACEMENTS_IMPORTANCE;
    return sum / weights;
  }

  /** Returns the mean of the reported loads, NaN if there is none. */
  double meanLoad() {
    return means.mean(LOAD);
  }

  /** Records a load report of a server. */
  void recordReport(Server s, List<Double> row) {
    if (row.isEmpty()) {
      return;
    }
    s.reportedAt = node.now;
    for (int m = 0; m < IMPORTANCE.length; m++) {
      recordMetric(
          s,
          m,
          MetricMeans.fieldValue(row, fields[m]),
          1.0 / Math.min(12, Math.max(4, node.readyServers.size())));
    }
    s.limits.recordReport(node.now, s.metrics[LOAD], s.metrics[BACKLOG]);
  }

  /**
   * Records how long a server took to answer a probe, as its latency where load reports have none.
   */
  void recordProbeLatency(Server s, long elapsed) {
    if (fields[LATENCY] < 0) {
      recordMetric(s, LATENCY, elapsed / (double) Node.MS, 0.1);
    }
  }

  private void recordMetric(Server s, int m, double value, double share) {
    s.metrics[m] = value;
    means.record(m, value, share);
  }

  /**
   * Returns the weight that follows from the server's index: a power of the inverse index, scaled
   * by size and zone.
   */
  double targetWeight(Server s) {
    s.previousIndex = s.index;
    s.index = loadIndex(s);
    double flooredIndex = Math.max(MIN_INDEX, (s.previousIndex + 3 * s.index) / 4);
    double weight =
        Math.pow(
            1 / flooredIndex,
            ConnectionLifetimes.inverseLoadExponent(
                node.firstRequests, node.now - node.startedAt, node.openConnections));
    return Math.max(0.02, weight * (node.hasNominalSizes() ? s.size / meanSize : 1))
        * zoneFactor(s);
  }

  /**
   * Returns the factor by which the weight of a server in another zone is reduced, according to the
   * price of a cross-zone attempt.
   */
  double zoneFactor(Server s) {
    boolean isRemote = s.zone != null && !s.zone.isEmpty() && !s.zone.equals(node.settings.zone());
    return isRemote ? 1 / (1 + TURNS_LOST_PER_PRICE_POINT * node.settings.prices().crossZone()) : 1;
  }

  /** Recomputes the weights of all servers and puts them into effect if they changed enough. */
  void recompute() {
    node.readyServers.forEach(s -> s.recentPlacements *= 0.8);
    meanSize = node.readyServers.stream().mapToDouble(s -> s.size).average().orElse(1);
    meanPlacements =
        node.readyServers.stream().mapToDouble(s -> s.recentPlacements).average().orElse(0);
    double[] next = new double[node.readyServers.size()];
    double change = 0;
    for (int i = 0; i < next.length; i++) {
      Server s = node.readyServers.get(i);
      if (!s.quiesced) {
        next[i] = s.weight + SMOOTHING * (targetWeight(s) - s.weight);
        change += Math.abs(next[i] - s.weight);
      }
    }
    if (change > COMMIT_THRESHOLD * next.length) {
      for (int i = 0; i < next.length; i++) {
        node.roundRobin.setWeight(node.readyServers.get(i), next[i]);
      }
      node.roundRobin.rescheduleAll();
    }
  }

  /** Recomputes the weight of one server at once, because its new report decides a placement. */
  void recompute(Server s) {
    if (!s.quiesced && s.state == State.READY) {
      double next = targetWeight(s);
      if (Math.abs(next - s.weight) > COMMIT_THRESHOLD) {
        node.roundRobin.setWeight(s, next);
        node.roundRobin.schedule(s);
      }
    }
  }

  /** Returns the mean of the positive weights, 1 if there is none. */
  double meanWeight() {
    return node.readyServers.stream()
        .mapToDouble(s -> s.weight)
        .filter(w -> w > 0)
        .average()
        .orElse(1);
  }
}
