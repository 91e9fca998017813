package brassbank.decide;

import ashspar.Balancer;
import brassbank.subsets.Subset;
import java.util.List;

/** An event that is reported to the facade by {@link Decider#report}. */
public sealed interface NetworkEvent {

  /** The target has accepted the flow: its connection is established. */
  record FlowEstablished(long flow) implements NetworkEvent {}

  /** The target has reported the load of an established connection. */
  record LoadReported(long flow, double load) implements NetworkEvent {}

  /**
   * A line of the client has been relayed to the target. Since this event and {@link
   * ResponseRelayed} occur for every line, they hold the flow's id boxed, ready for the lookup, and
   * the caller creates each of them once per flow and reuses it.
   */
  record RequestRelayed(Long flow) implements NetworkEvent {}

  /** A line of the target has been relayed to the client. */
  record ResponseRelayed(Long flow) implements NetworkEvent {}

  /**
   * The target of an established connection is not read from now on, because the client does not
   * take what the target has sent. As with {@link RequestRelayed}, the caller reuses the event.
   */
  record TargetReadPaused(Long flow) implements NetworkEvent {}

  /** The target of an established connection is read again. */
  record TargetReadResumed(Long flow) implements NetworkEvent {}

  /** The outstanding forward, or the established connection, has ended on the target's side. */
  record ForwardEnded(long flow, Outcome outcome) implements NetworkEvent {}

  /** The client has disconnected. */
  record ClientDisconnected(long flow) implements NetworkEvent {}

  /** A probe has ended; the values of the report are in the order of the configured fields. */
  record ProbeCompleted(String target, Outcome outcome, long elapsedMicros, List<Double> report)
      implements NetworkEvent {}

  /** Discovery has reported the target group, or changes to it. */
  record TargetsListed(TargetList list) implements NetworkEvent {}

  /** A fetch of the target list has failed; the current list stays in force. */
  record FetchFailed() implements NetworkEvent {}

  /** The operators have changed the settings. */
  record SettingsChanged(Balancer.Settings settings) implements NetworkEvent {}

  /**
   * The share of the fleet's budgets that this proxy may spend has changed.
   *
   * @param share the share of each budget until {@code untilNanos}
   * @param baseShare the share of each budget from then on
   * @param rank the rank of this proxy among the participants, from 0
   * @param participants how many proxies share the budgets
   * @param untilNanos a time of the monotonic clock
   */
  record BudgetShareChanged(
      double share, double baseShare, int rank, int participants, long untilNanos)
      implements NetworkEvent {}

  /** The subset of targets that this proxy probes and prefers has changed; null means all. */
  record SubsetChanged(Subset subset) implements NetworkEvent {}

  /** The proxy has begun to accept connections. */
  record ServingStarted() implements NetworkEvent {}

  /** An operator asks the proxy to move its clients away and to stand by. */
  record StandbyRequested() implements NetworkEvent {}

  /** An operator asks the proxy to accept clients. */
  record ActivationRequested() implements NetworkEvent {}

  /** Another process has begun to accept the clients, or has ceased to. */
  record SuccessorChanged(boolean isPresent) implements NetworkEvent {}

  /**
   * The targets and connections that a predecessor of this process holds now. The module counts the
   * connections as this process's own, so that their clients are known when they reconnect. The
   * predecessor's target list is used until discovery reports one.
   *
   * @param processId keeps the ids of the predecessor's flows apart from those of this process
   */
  record PredecessorReported(
      long processId, List<TargetList.Entry> targets, List<EstablishedConnection> connections)
      implements NetworkEvent {}

  /** The proxy must stop by {@code deadlineMicros}, a time of the facade's clock. */
  record StopRequested(long deadlineMicros) implements NetworkEvent {}
}
