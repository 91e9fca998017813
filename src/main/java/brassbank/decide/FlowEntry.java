package brassbank.decide;

import ashspar.Balancer;

/**
 * The state of an open flow: one without a final answer, or one whose connection is established.
 */
final class FlowEntry {
  /** The stage of a flow. It alternates between the first two until the flow is established. */
  enum Stage {
    /** No forward is outstanding. */
    PENDING,
    /** A forward is outstanding. */
    FORWARDED,
    /** The connection to the target is established. */
    ESTABLISHED
  }

  final Flow flow;
  final Balancer.Request request;

  /** When the client times out, in microseconds of the facade's clock, as all times here. */
  final long deadlineMicros;

  /** The settings at the time of the pick, which apply to the flow until it is closed. */
  final Balancer.Settings settings;

  Stage stage = Stage.PENDING;

  /** The number of forwards so far. */
  int forwardCount;

  /** The target of the last forward. */
  Target target;

  /** When the last forward was sent. */
  long sentAtMicros;

  /** When the first forward that may have run was sent; Long.MAX_VALUE if there is none. */
  private long firstRunSentAtMicros = Long.MAX_VALUE;

  /** The wait of the established connection for a response of the target. */
  final ResponseWait responseWait = new ResponseWait();

  /** The load that the target last reported. */
  double load = Double.NaN;

  /** Whether a timer is pending for the unanswered request or for an earlier one. */
  boolean hasUnansweredTimer;

  FlowEntry(Flow flow, Balancer.Request request, long deadlineMicros, Balancer.Settings settings) {
    this.flow = flow;
    this.request = request;
    this.deadlineMicros = deadlineMicros;
    this.settings = settings;
  }

  /** Records that the last forward has ended and may have run. */
  void markMayHaveRun() {
    firstRunSentAtMicros = Math.min(firstRunSentAtMicros, sentAtMicros);
  }

  /**
   * Returns the time after which no line may be sent. Targets drop repeats of a guarded class only
   * within a window after the first attempt, and a repeat that was decided within the window may
   * spend the rest of it on its connect.
   */
  long sendDeadlineMicros() {
    return settings.classes().stream()
        .filter(
            c ->
                c.name().equals(flow.flowClass())
                    && c.repeatability() == Balancer.Repeatability.GUARDED)
        .mapToLong(
            c ->
                firstRunSentAtMicros == Long.MAX_VALUE
                    ? deadlineMicros
                    : firstRunSentAtMicros + c.deduplicationWindowMicros())
        .findAny()
        .orElse(deadlineMicros);
  }

  /** Returns the module's number of the last forward; always 0 for a resumed connection. */
  int attemptNumber() {
    return flow.resumeTarget() != null ? 0 : forwardCount - 1;
  }

  /** Returns what other processes of the same proxy need to know of an established connection. */
  EstablishedConnection toEstablishedConnection() {
    return new EstablishedConnection(
        flow.id(),
        flow.key(),
        flow.flowClass(),
        flow.tenant(),
        flow.group(),
        flow.loadHint(),
        target.name(),
        load);
  }
}
