package brassbank.discovery;

/**
 * The timeouts and delays of calls to discovery, in microseconds.
 *
 * <p>The proxy is expected to know of a change within {@link #REPORT_BOUND_MICROS} after its watch
 * falls silent, and within the same time after discovery has the change and can be reached,
 * whichever calls fail meanwhile. The times of the worst sequence of events must add up to less.
 * All proxies share one discovery service of small capacity, so that no time here may be shorter
 * than its capacity allows.
 */
final class DiscoveryTimeouts {
  /**
   * The bound within which the proxy is expected to know of every change that discovery reports.
   */
  static final long REPORT_BOUND_MICROS = 6_000_000;

  /**
   * How long a call may be silent once its answer has begun. Discovery sends an empty line on a
   * watch every 2 s, so that a longer silence means that the watch is lost. The rest of {@link
   * #REPORT_BOUND_MICROS} must suffice for a call that hangs and its hedge.
   */
  static final long SILENCE_MICROS = 2_500_000;

  /** How long after the start of a call without an answer a second one is started beside it. */
  static final long HEDGE_MICROS = 1_500_000;

  /**
   * How long a call may take until its answer begins. Discovery itself fails a call that has waited
   * for 3 s, whereas a half-open connection never brings an answer.
   */
  static final long ANSWER_MICROS = 3_500_000;

  /** The timeout of a connect. */
  static final long CONNECT_MICROS = 1_000_000;

  /** The mean delay before the first retry of a failed call. */
  static final long MIN_RETRY_DELAY_MICROS = 100_000;

  /** The maximum of the mean delay before a retry. */
  static final long MAX_RETRY_DELAY_MICROS = 1_000_000;

  /**
   * The minimum time between the starts of two calls of the same kind, apart from the delays of
   * retries. Without it a proxy called discovery nine times within a second when operators
   * announced twice in a row that discovery had moved, during an upgrade.
   */
  static final long MIN_CALL_INTERVAL_MICROS = 600_000;

  private DiscoveryTimeouts() {}

  /** Returns the longest delay that is drawn for this mean. */
  static long maxDelayMicros(long meanMicros) {
    return meanMicros / 2 + meanMicros;
  }

  /**
   * Returns the time that is left for an answer if a watch falls silent and the call that renews it
   * hangs, so that its hedge must be answered.
   */
  static long answerTimeAfterSilenceMicros() {
    return REPORT_BOUND_MICROS
        - SILENCE_MICROS
        - maxDelayMicros(MIN_RETRY_DELAY_MICROS)
        - HEDGE_MICROS;
  }

  /**
   * Returns the time that is left for an answer if discovery becomes reachable just after the start
   * of a call that hangs and has no hedge: the call must time out, and the longest delay follows.
   */
  static long answerTimeAfterHungCallMicros() {
    return REPORT_BOUND_MICROS - ANSWER_MICROS - maxDelayMicros(MAX_RETRY_DELAY_MICROS);
  }
}
