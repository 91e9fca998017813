package ashspar;

import ashspar.Balancer.Metric;
import ashspar.Balancer.SizeMeaning;
import ashspar.Balancer.State;
import ashspar.limits.ConnectionLifetimes;
import ashspar.limits.MetricMeans;
import java.util.List;

/**
 * The load metric index and the weight computation function (Goldszmidt and Hunt, section 4): what
 * load reports say of each server against the mean, and the weight that follows from it.
 */
final class Weights {
  private static final double SMOOTHING = 0.6; // share of the new weight in the next: damps swings

  /** Mean change of a weight, as a share of the mean weight, from which weights are committed. */
  private static final double COMMIT_THRESHOLD = 0.02;

  /** The metrics of reports, in this order everywhere. */
  static final int LOAD = 0;

  private static final int BACKLOG = 1;
  private static final int LATENCY = 2;

  /** Relative importance R(i) of each metric; their sum is 1, a disabled one's goes to the rest. */
  private static final double[] IMPORTANCE = {0.6, 0.15, 0.05};

  private static final double PLACEMENTS_IMPORTANCE = 0.05;
  private static final double SIZE_IMPORTANCE = 0.15;
  private static final double TURNS_LOST_PER_PRICE_POINT =
      150; // turns lost to a crossing, per point of its price
  private static final double MIN_INDEX = 0.4; // least index credited: no weight without bound

  private static final long REPORT_EXPIRY_MICROS =
      12 * Node.SECOND; // an older report's metrics are disabled
  private static final double REPORT_DECAY_MICROS =
      6.0 * Node.SECOND; // a report loses all but 1/e of its worth

  /** Own placements that weigh as much as what the mean says, against the noise of small counts. */
  private static final double PLACEMENTS_PRIOR = 4;

  private final Node node;
  private final int[] fields = new int[IMPORTANCE.length];
  private final MetricMeans means = new MetricMeans(1.5, 10, 1e4); // each counts so much at most
  double meanSize = 1;
  private double meanPlacements;

  Weights(Node node) {
    this.node = node;
  }

  void configure() {
    List<Metric> told = node.settings.reportFields();
    fields[LOAD] = MetricMeans.fieldIndex(told, Metric.LOAD, Metric.UTILIZATION);
    fields[BACKLOG] = MetricMeans.fieldIndex(told, Metric.BACKLOG_S, Metric.QUEUE);
    fields[LATENCY] = told.indexOf(Metric.LATENCY_MS);
  }

  /** L(S): the weighted sum of the metrics, each as a multiple of its mean over the servers. */
  private double loadIndex(Server s) {
    double sum = 0;
    double weights = 0;
    long age = node.now - s.reportedAt;
    if (age <= REPORT_EXPIRY_MICROS) {
      double worth = Math.exp(-Math.max(0, age - Node.TICK_MICROS) / REPORT_DECAY_MICROS);
      for (int m = 0; m < IMPORTANCE.length; m++) {
        if (!Double.isNaN(s.metrics[m]) && means.mean(m) > 0) {
          double value = Math.max(0, s.metrics[m] + (m == LOAD ? s.limits.unreportedLoad() : 0));
          sum += IMPORTANCE[m] * (1 + (value / means.mean(m) - 1) * worth);
          weights += IMPORTANCE[m];
        }
      }
    }
    if (node.settings.sizeMeaning() == SizeMeaning.LIVE) {
      sum += SIZE_IMPORTANCE * meanSize / Math.max(s.size, 1e-3 * meanSize);
      weights += SIZE_IMPORTANCE;
    }
    // A node places few connections, so its own count is drawn to the mean by what it has not seen.
    sum +=
        PLACEMENTS_IMPORTANCE
            * (s.recentPlacements + PLACEMENTS_PRIOR)
            / (meanPlacements + PLACEMENTS_PRIOR);
    weights += PLACEMENTS_IMPORTANCE;
    return sum / weights;
  }

  /** The mean of the reported loads, NaN while there is none. */
  double meanLoad() {
    return means.mean(LOAD);
  }

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

  /** A probe's answer has taken so long, which tells of a server where no report does. */
  void recordProbeLatency(Server s, long elapsed) {
    if (fields[LATENCY] < 0) {
      recordMetric(s, LATENCY, elapsed / (double) Node.MS, 0.1);
    }
  }

  private void recordMetric(Server s, int m, double value, double share) {
    s.metrics[m] = value;
    means.record(m, value, share);
  }

  /** The weight a server should have by its index: the inverse of its floored share of the load. */
  double targetWeight(Server s) {
    s.previousIndex = s.index;
    s.index = loadIndex(s);
    double level = Math.max(MIN_INDEX, (s.previousIndex + 3 * s.index) / 4);
    double weight =
        Math.pow(
            1 / level,
            ConnectionLifetimes.inverseLoadExponent(
                node.firstRequests, node.now - node.startedAt, node.openConnections));
    return Math.max(0.02, weight * (node.hasNominalSizes() ? s.size / meanSize : 1))
        * zoneFactor(s);
  }

  /** A server of another zone gets fewer turns, by what a crossing costs. */
  double zoneFactor(Server s) {
    boolean far = s.zone != null && !s.zone.isEmpty() && !s.zone.equals(node.settings.zone());
    return far ? 1 / (1 + TURNS_LOST_PER_PRICE_POINT * node.settings.prices().crossZone()) : 1;
  }

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

  /** A report that decides a placement is used at once, for its own server only. */
  void recompute(Server s) {
    if (!s.quiesced && s.state == State.READY) {
      double next = targetWeight(s);
      if (Math.abs(next - s.weight) > COMMIT_THRESHOLD) {
        node.roundRobin.setWeight(s, next);
        node.roundRobin.schedule(s);
      }
    }
  }

  double meanWeight() {
    return node.readyServers.stream()
        .mapToDouble(s -> s.weight)
        .filter(w -> w > 0)
        .average()
        .orElse(1);
  }
}
