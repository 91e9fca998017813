package brassbank.decide;

/** What is to be done now, in the order given. A decision that names no flow concerns the proxy. */
public sealed interface Decision {

  /**
   * Send the flow to this target and wait for its answer (times of this facade's clock).
   *
   * @param until the answer is waited for
   * @param sendBy the line is sent, or not at all
   */
  record Forward(long flow, Target target, long until, long sendBy) implements Decision {}

  /** Final answer: not served, and trying again is harmless; after {@code retryMillis} if not 0. */
  record FixedResponse(long flow, long retryMillis) implements Decision {}

  /** Final answer: not served, and nothing is promised. */
  record Fail(long flow) implements Decision {}

  /** Give up the forward that is out. Its outcome is known here: nothing is to be reported. */
  record Cancel(long flow) implements Decision {}

  /** Ask the client of a standing connection to come again, and end both sides. */
  record Move(long flow) implements Decision {}

  /** Nothing yet: a later tick or report decides on the flow. */
  record Hold(long flow) implements Decision {}

  /** Ask a target for its load. */
  record Probe(Target target) implements Decision {}

  /** Keep a watch on the target group, or end it. */
  record Watch(boolean on) implements Decision {}

  /** Ask for the whole target group once. */
  record Fetch() implements Decision {}
}
