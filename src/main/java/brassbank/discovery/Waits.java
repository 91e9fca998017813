package brassbank.discovery;

/**
 * How long discovery is waited for, in microseconds. A change counts as told {@link #TOLD} after a
 * watch fell silent, and as long after discovery had it and could be reached, whatever call failed
 * meanwhile; what a proxy needs for its worst order of events must add up to less. All proxies
 * share one discovery of small capacity, so that none of these is shorter than that asks for.
 */
final class Waits {
  /** STANDING: whatever discovery has to tell counts as told so long afterwards. */
  static final long TOLD = 6_000_000;

  /**
   * An empty line comes every 2 s: a watch that is silent for longer than this is lost. The rest of
   * {@link #TOLD} is for a call that hangs and one beside it.
   */
  static final long SILENCE = 2_500_000;

  /** A call whose answer has not begun by then gets a second one beside it, since it may hang. */
  static final long BESIDE = 1_500_000;

  /** Discovery itself fails a call that has waited for 3 s; a half-open one never answers. */
  static final long ANSWER = 3_500_000;

  static final long CONNECT = 1_000_000;

  /** The mean pause before a failed call is made again: at first, and at the most. */
  static final long FIRST_PAUSE = 100_000;

  static final long LONGEST_PAUSE = 1_000_000;

  /**
   * Calls of one kind begin no sooner after one another, but for the pauses after failures: where
   * operators say twice within a moment that discovery has moved, and an upgrade is under way, the
   * proxy called it nine times within a second.
   */
  static final long APART = 600_000;

  private Waits() {}

  /** The longest that a pause of this mean can be drawn. */
  static long longest(long mean) {
    return mean / 2 + mean;
  }

  /** What is left for an answer where a watch falls silent and the call that renews it hangs. */
  static long leftAfterSilence() {
    return TOLD - SILENCE - longest(FIRST_PAUSE) - BESIDE;
  }

  /**
   * The same where discovery can be reached again just after a call began that hangs, with no other
   * to be made beside it: that call, and the longest pause after it.
   */
  static long leftAfterReturn() {
    return TOLD - ANSWER - longest(LONGEST_PAUSE);
  }
}
