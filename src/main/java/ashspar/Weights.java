package ashspar;

import ashspar.Balancer.Metric;
import ashspar.Balancer.SizeMeaning;
import ashspar.Balancer.State;
import ashspar.limits.Lives;
import ashspar.limits.Means;
import java.util.List;

/**
 * The load metric index and the weight computation function (Goldszmidt and Hunt, section 4): what
 * load reports say of each server against the mean, and the weight that follows from it.
 */
final class Weights {
  private static final double SMOOTHING = 0.6; // share of the new weight in the next: damps swings

  /** Mean change of a weight, as a share of the mean weight, from which weights are committed. */
  private static final double SENSITIVITY = 0.02;

  /** The metrics of reports, in this order everywhere. */
  static final int LOAD = 0;

  private static final int BACKLOG = 1;
  private static final int LATENCY = 2;

  /** Relative importance R(i) of each metric; their sum is 1, a disabled one's goes to the rest. */
  private static final double[] R = {0.6, 0.15, 0.05};

  private static final double R_INPUT = 0.05;
  private static final double R_SIZE = 0.15;
  private static final double FAR = 150; // turns lost to a crossing, per point of its price
  private static final double LOAD_FLOOR = 0.4; // least index credited: no weight without bound

  private static final long OVERDUE = 12 * Node.SECOND; // an older report's metrics are disabled
  private static final double FADE = 6.0 * Node.SECOND; // a report loses all but 1/e of its worth

  /** Own placements that weigh as much as what the mean says, against the noise of small counts. */
  private static final double INPUT_PRIOR = 4;

  private final Node node;
  private final int[] fields = new int[R.length];
  private final Means means = new Means(1.5, 10, 1e4); // each counts so much at most
  double meanSize = 1;
  private double meanInput;

  Weights(Node node) {
    this.node = node;
  }

  void configure() {
    List<Metric> told = node.settings.reportFields();
    fields[LOAD] = Means.field(told, Metric.LOAD, Metric.UTILIZATION);
    fields[BACKLOG] = Means.field(told, Metric.BACKLOG_S, Metric.QUEUE);
    fields[LATENCY] = told.indexOf(Metric.LATENCY_MS);
  }

  /** L(S): the weighted sum of the metrics, each as a multiple of its mean over the servers. */
  private double index(Server s) {
    double sum = 0;
    double weights = 0;
    long age = node.now - s.reportAt;
    if (age <= OVERDUE) {
      double worth = Math.exp(-Math.max(0, age - Node.INTERVAL) / FADE);
      for (int m = 0; m < R.length; m++) {
        if (!Double.isNaN(s.metrics[m]) && means.of(m) > 0) {
          double value = Math.max(0, s.metrics[m] + (m == LOAD ? s.limits.added() : 0));
          sum += R[m] * (1 + (value / means.of(m) - 1) * worth);
          weights += R[m];
        }
      }
    }
    if (node.settings.sizeMeaning() == SizeMeaning.LIVE) {
      sum += R_SIZE * meanSize / Math.max(s.size, 1e-3 * meanSize);
      weights += R_SIZE;
    }
    // A node places few connections, so its own count is drawn to the mean by what it has not seen.
    sum += R_INPUT * (s.input + INPUT_PRIOR) / (meanInput + INPUT_PRIOR);
    weights += R_INPUT;
    return sum / weights;
  }

  /** The mean of the reported loads, NaN while there is none. */
  double meanLoad() {
    return means.of(LOAD);
  }

  void report(Server s, List<Double> row) {
    if (row.isEmpty()) {
      return;
    }
    s.reportAt = node.now;
    for (int m = 0; m < R.length; m++) {
      tell(s, m, Means.value(row, fields[m]), 1.0 / Math.min(12, Math.max(4, node.ready.size())));
    }
    s.limits.reported(node.now, s.metrics[LOAD], s.metrics[BACKLOG]);
  }

  /** A probe's answer has taken so long, which tells of a server where no report does. */
  void answered(Server s, long elapsed) {
    if (fields[LATENCY] < 0) {
      tell(s, LATENCY, elapsed / (double) Node.MS, 0.1);
    }
  }

  private void tell(Server s, int m, double value, double share) {
    s.metrics[m] = value;
    means.tell(m, value, share);
  }

  /** The weight a server should have by its index: the inverse of its floored share of the load. */
  double target(Server s) {
    s.previousIndex = s.index;
    s.index = index(s);
    double level = Math.max(LOAD_FLOOR, (s.previousIndex + 3 * s.index) / 4);
    double weight =
        Math.pow(
            1 / level, Lives.power(node.arrivals, node.now - node.startedAt, node.openConnections));
    return Math.max(0.02, weight * (node.sized() ? s.size / meanSize : 1)) * nearness(s);
  }

  /** A server of another zone gets fewer turns, by what a crossing costs. */
  double nearness(Server s) {
    boolean far = s.zone != null && !s.zone.isEmpty() && !s.zone.equals(node.settings.zone());
    return far ? 1 / (1 + FAR * node.settings.prices().crossZone()) : 1;
  }

  void recompute() {
    node.ready.forEach(s -> s.input *= 0.8);
    meanSize = node.ready.stream().mapToDouble(s -> s.size).average().orElse(1);
    meanInput = node.ready.stream().mapToDouble(s -> s.input).average().orElse(0);
    double[] next = new double[node.ready.size()];
    double change = 0;
    for (int i = 0; i < next.length; i++) {
      Server s = node.ready.get(i);
      if (!s.quiesced) {
        next[i] = s.weight + SMOOTHING * (target(s) - s.weight);
        change += Math.abs(next[i] - s.weight);
      }
    }
    if (change > SENSITIVITY * next.length) {
      for (int i = 0; i < next.length; i++) {
        node.wheels.commit(node.ready.get(i), next[i]);
      }
      node.wheels.rebuild();
    }
  }

  /** A report that decides a placement is used at once, for its own server only. */
  void recompute(Server s) {
    if (!s.quiesced && s.state == State.READY) {
      double next = target(s);
      if (Math.abs(next - s.weight) > SENSITIVITY) {
        node.wheels.commit(s, next);
        node.wheels.enqueue(s);
      }
    }
  }

  double meanWeight() {
    return node.ready.stream().mapToDouble(s -> s.weight).filter(w -> w > 0).average().orElse(1);
  }
}
