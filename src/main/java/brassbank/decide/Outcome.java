package brassbank.decide;

import ashspar.Balancer;

/** How a forward or a probe ended; whether it has run follows PROTOCOL's table. */
public enum Outcome {
  /** Served to its end, or a probe that was answered. */
  SERVED(Balancer.Status.OK),
  /** The target answered with an error, or with a line that means nothing here. */
  ERROR(Balancer.Status.ERROR),
  /** Turned away by the target: it never ran. */
  BUSY(Balancer.Status.FULL),
  /** Refused, never up, or broken before the line's last byte was written: it never ran. */
  CONNECT_FAILED(Balancer.Status.CONNECT_FAILED),
  /** Broken after that: it may have run. */
  RESET(Balancer.Status.RESET),
  /** No answer in time: it may have run. */
  TIMED_OUT(Balancer.Status.TIMEOUT),
  /** The client left, or the target sent it away. */
  CANCELLED(Balancer.Status.CANCELLED);

  final Balancer.Status status;

  Outcome(Balancer.Status status) {
    this.status = status;
  }
}
