package brassbank.decide;

import ashspar.Balancer;

/**
 * How a forward, an established connection or a probe ended. The outcome also determines whether
 * the target may have begun to serve the attempt, which decides if a repeat is harmless.
 */
public enum Outcome {
  /** The session was served to its end, or the probe was answered. */
  SERVED(Balancer.Status.OK),
  /** The target answered with an error or with an unknown line. */
  ERROR(Balancer.Status.ERROR),
  /** The target rejected the attempt, which never ran. */
  BUSY(Balancer.Status.FULL),
  /**
   * The connect was refused or timed out, or the connection broke before the last byte of the line
   * was written. The attempt never ran.
   */
  CONNECT_FAILED(Balancer.Status.CONNECT_FAILED),
  /** The connection broke after the line was written. The attempt may have run. */
  RESET(Balancer.Status.RESET),
  /** No answer came in time. The attempt may have run. */
  TIMED_OUT(Balancer.Status.TIMEOUT),
  /** The client disconnected, or the target asked it to reconnect elsewhere. */
  CANCELLED(Balancer.Status.CANCELLED);

  final Balancer.Status status;

  Outcome(Balancer.Status status) {
    this.status = status;
  }
}
