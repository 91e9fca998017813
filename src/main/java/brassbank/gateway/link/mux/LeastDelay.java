package brassbank.gateway.link.mux;

/**
 * The least of the samples of late: of the current span and the one before. With a peer's stamps it
 * tells how old a frame is although the two clocks have nothing in common: what came the quickest
 * lately is taken for fresh, and how much later another came, against its stamp, is its age. That
 * is too little by the quickest frame's own time on the way, and never too much.
 */
final class LeastDelay {
  private final long span;
  private long begun;
  private long current = Long.MAX_VALUE;
  private long before = Long.MAX_VALUE;

  /**
   * @param span microseconds; samples count for one to two of them
   */
  LeastDelay(long span) {
    this.span = span;
  }

  void add(long sample, long now) {
    if (current == Long.MAX_VALUE && before == Long.MAX_VALUE) {
      begun = now;
    } else if (now - begun >= span) {
      before = now - begun < 2 * span ? current : Long.MAX_VALUE;
      current = Long.MAX_VALUE;
      begun = now;
    }
    current = Math.min(current, sample);
  }

  boolean known() {
    return least() != Long.MAX_VALUE;
  }

  long least() {
    return Math.min(current, before);
  }
}
