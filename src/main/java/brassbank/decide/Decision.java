package brassbank.decide;

/**
 * An action to be carried out, in the order returned by the facade. A decision without a flow
 * concerns the proxy as a whole.
 */
public sealed interface Decision {

  /**
   * Forward the flow to the target and wait for its answer. Times are microseconds of the facade's
   * clock.
   *
   * @param answerDeadlineMicros how long to wait for the answer
   * @param sendDeadlineMicros the line must not be sent after this time
   */
  record Forward(long flow, Target target, long answerDeadlineMicros, long sendDeadlineMicros)
      implements Decision {}

  /**
   * Final answer: the flow is not served, and a retry is harmless.
   *
   * @param retryAfterMillis how long the client should wait before it retries, 0 for no hint
   */
  record FixedResponse(long flow, long retryAfterMillis) implements Decision {}

  /** Final answer: the flow is not served, and it may or may not have run. */
  record Fail(long flow) implements Decision {}

  /** Cancel the outstanding forward. Its outcome is known to the facade and is not reported. */
  record Cancel(long flow) implements Decision {}

  /** Ask the client of an established connection to reconnect, and close both sides. */
  record Move(long flow) implements Decision {}

  /** No decision yet: a later tick or report decides on the flow. */
  record Hold(long flow) implements Decision {}

  /** Probe a target for its load. */
  record Probe(Target target) implements Decision {}

  /** Start or stop watching the target group. */
  record Watch(boolean enabled) implements Decision {}

  /** Fetch the whole target group once. */
  record Fetch() implements Decision {}
}
