package brassbank.decide;

import ashspar.Balancer;

/** The ledger's line for a flow that has no final answer or whose connection stands. */
final class Entry {
  /** Where a flow is on its way; it goes from held to out and back, until it is up. */
  enum Stage {
    HELD,
    OUT,
    UP
  }

  final Flow flow;
  final Balancer.Request request;

  /** When its client gives up, in microseconds of the facade's clock, as all times here. */
  final long deadline;

  /** The settings that it came under, which hold for it to its end. */
  final Balancer.Settings settings;

  Stage stage = Stage.HELD;
  int forwards;
  Target target;
  long sentAt;

  /** When the first forward was sent that may have run; Long.MAX_VALUE while none may have. */
  private long ranSentAt = Long.MAX_VALUE;

  long askedAt;

  /** As the target told it last. */
  double load = Double.NaN;

  /** An alarm looks after the question that is open, or one before it. */
  boolean watched;

  Entry(Flow flow, Balancer.Request request, long deadline, Balancer.Settings settings) {
    this.flow = flow;
    this.request = request;
    this.deadline = deadline;
    this.settings = settings;
  }

  /** The forward that was out has ended, and may have run. */
  void mayHaveRun() {
    ranSentAt = Math.min(ranSentAt, sentAt);
  }

  /**
   * Until when a line may still be sent: a repeat that is decided in time may wait for its connect
   * past the window within which targets drop it.
   */
  long sendBy() {
    return settings.classes().stream()
        .filter(
            c ->
                c.name().equals(flow.flowClass())
                    && c.repeatability() == Balancer.Repeatability.GUARDED)
        .mapToLong(
            c -> ranSentAt == Long.MAX_VALUE ? deadline : ranSentAt + c.deduplicationWindowMicros())
        .findAny()
        .orElse(deadline);
  }

  /** The module's number of the last forward; a resumed connection is 0, however often tried. */
  int attempt() {
    return flow.resumeTarget() != null ? 0 : forwards - 1;
  }

  /** What another process of the same proxy must know of a connection that stands. */
  EstablishedConnection asStanding() {
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
