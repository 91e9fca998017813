package brassbank.decide;

/**
 * The wait of an established connection for its target's response to a client's line, and how much
 * of it the target's link was not read. While a client does not take what its target sends, the
 * link is not read, so that a response may have arrived without having been seen.
 *
 * <p>A target counts as silent if it has not responded for {@link #UNANSWERED_LIMIT_MICROS} and its
 * link has been read since at least {@link #READ_AGAIN_MICROS}.
 *
 * <p>Not thread-safe. Times are microseconds of the caller's clock.
 */
final class ResponseWait {
  /**
   * How long a target may leave a client's line unanswered. Clients must be moved within 7 s of the
   * line, and TCP does not report a silent machine.
   */
  static final long UNANSWERED_LIMIT_MICROS = 4_500_000;

  /**
   * How long a link must have been read again before its target may count as silent: what waits in
   * it has been read by then. A pause that ends 5.5 s after the line still leaves 0.5 s of the 7 s.
   */
  static final long READ_AGAIN_MICROS = 1_000_000;

  private static final long NONE = -1;

  /** When the unanswered line was relayed, or NONE if all lines have been answered. */
  private long requestAtMicros = NONE;

  /** Since when the target's link is not read, or NONE if it is read. */
  private long pausedAtMicros = NONE;

  /** The earliest time at which the target may count as silent because of the last pause. */
  private long readEnoughAtMicros;

  /** How long the link was not read during the wait, without the pause in progress. */
  private long pausedMicros;

  /** Records that a line was relayed; only the first line without a response starts a wait. */
  void requestRelayed(long nowMicros) {
    if (!isPending()) {
      requestAtMicros = nowMicros;
      pausedMicros = 0;
    }
  }

  /** Records a response, which ends the wait. */
  void responseRelayed() {
    requestAtMicros = NONE;
  }

  /** Records that the target's link is not read from now on. */
  void readingPaused(long nowMicros) {
    if (pausedAtMicros == NONE) {
      pausedAtMicros = nowMicros;
    }
  }

  /** Records that the target's link is read again from now on. */
  void readingResumed(long nowMicros) {
    if (pausedAtMicros != NONE) {
      pausedMicros += pauseInProgressMicros(nowMicros);
      pausedAtMicros = NONE;
      readEnoughAtMicros = nowMicros + READ_AGAIN_MICROS;
    }
  }

  /** Returns whether a line is unanswered. */
  boolean isPending() {
    return requestAtMicros != NONE;
  }

  /** Returns whether the target's link is read. */
  boolean isRead() {
    return pausedAtMicros == NONE;
  }

  /**
   * Returns when the target counts as silent if it does not respond and its link is read until
   * then; a line must be unanswered.
   */
  long silentAtMicros() {
    return Math.max(requestAtMicros + UNANSWERED_LIMIT_MICROS, readEnoughAtMicros);
  }

  /** Returns whether the target counts as silent. */
  boolean isSilent(long nowMicros) {
    return isPending() && isRead() && nowMicros >= silentAtMicros();
  }

  /** Returns how long the line has been unanswered; a line must be. */
  long elapsedMicros(long nowMicros) {
    return nowMicros - requestAtMicros;
  }

  /** Returns for how much of the wait the target's link was not read; a line must be unanswered. */
  long unreadMicros(long nowMicros) {
    return pausedMicros + pauseInProgressMicros(nowMicros);
  }

  private long pauseInProgressMicros(long nowMicros) {
    return isPending() && pausedAtMicros != NONE
        ? nowMicros - Math.max(pausedAtMicros, requestAtMicros)
        : 0;
  }
}
