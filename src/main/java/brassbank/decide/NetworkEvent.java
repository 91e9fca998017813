package brassbank.decide;

import ashspar.Balancer;
import brassbank.subsets.Subset;
import java.util.List;

/** What the network has seen. */
public sealed interface NetworkEvent {

  /** The target has taken the flow: its connection stands. */
  record FlowEstablished(long flow) implements NetworkEvent {}

  /** The target has told the load of a standing connection. */
  record LoadReported(long flow, double load) implements NetworkEvent {}

  /**
   * The client's line has been passed to the target. It and {@link ResponseRelayed} come with each
   * line and its answer, and so keep the number as it is looked up: whoever tells them makes them
   * once.
   */
  record RequestRelayed(Long flow) implements NetworkEvent {}

  /** A line of the target has been passed to the client. */
  record ResponseRelayed(Long flow) implements NetworkEvent {}

  /** The forward that was out, or the standing connection, has ended on the target's side. */
  record ForwardEnded(long flow, Outcome outcome) implements NetworkEvent {}

  /** The client has left. */
  record ClientDisconnected(long flow) implements NetworkEvent {}

  /** A probe has ended; the report's values are in the order of the settings. */
  record ProbeCompleted(String target, Outcome outcome, long elapsedMicros, List<Double> report)
      implements NetworkEvent {}

  /** Discovery has told of the target group. */
  record TargetsListed(TargetList list) implements NetworkEvent {}

  /** A fetch has failed; the list still holds. */
  record FetchFailed() implements NetworkEvent {}

  /** The operators have changed the settings. */
  record SettingsChanged(Balancer.Settings settings) implements NetworkEvent {}

  /**
   * How much of the fleet's budgets this proxy may spend.
   *
   * @param share of each, until a time of the steady clock; {@code base} from then on
   * @param rank which of those that share it is, {@code of} so many
   */
  record BudgetShareChanged(
      double share, double baseShare, int rank, int participants, long untilNanos)
      implements NetworkEvent {}

  /** Which targets this proxy asks, and places at first; null for all of them. */
  record SubsetChanged(Subset subset) implements NetworkEvent {}

  /** The proxy takes connections. */
  record ServingStarted() implements NetworkEvent {}

  /** An operator asks to have the clients sent away. */
  record StandbyRequested() implements NetworkEvent {}

  /** An operator asks to have clients taken. */
  record ActivationRequested() implements NetworkEvent {}

  /** Another process takes the clients from here on, or this one does again. */
  record SuccessorChanged(boolean isPresent) implements NetworkEvent {}

  /**
   * What a predecessor of this process holds now: the module counts it as this one's own, so that
   * its clients are known when they come. The process's number keeps its flows' ids apart. Until
   * discovery tells its list, the predecessor's holds.
   */
  record PredecessorReported(
      long processId, List<TargetList.Entry> targets, List<EstablishedConnection> connections)
      implements NetworkEvent {}

  /** The proxy is to stop by then (the facade's clock). */
  record StopRequested(long deadlineMicros) implements NetworkEvent {}
}
