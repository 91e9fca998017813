package brassbank.decide;

import brassbank.sources.Clock;

/**
 * The module's clock: microseconds that never go back, near Unix time.
 *
 * <p>Unix times that discovery tells are mapped by the wall clock. That may be stepped: put
 * forward, it makes a target that has just started look as if it had been warm for long, and the
 * proxies together push it over. So of the wall clock's distances from the steady one that were
 * seen within the last two minutes, the least counts, by which a target is younger rather than
 * older; the figure is far above any warm-up. A step does no lasting harm.
 */
public final class FlowClock {
  private static final long SECOND = 1_000_000;

  /** The wall clock is looked at each second, whenever {@link #now} is asked for. */
  private static final long LOOK_EVERY = SECOND;

  /** A distance is remembered for one to two of these. */
  private static final long WINDOW = 60 * SECOND;

  private final Clock clock;
  private final long startNanos;
  private final long base;

  /** The wall clock's time minus this clock's, in microseconds: the least of both windows. */
  private long least;

  private long leastBefore;
  private long windowSince;
  private long lookedAt;

  public FlowClock(Clock clock) {
    this.clock = clock;
    startNanos = clock.nanos();
    base = clock.unixMillis() * 1000;
    windowSince = base;
    lookedAt = base;
  }

  /** Microseconds; also sees to it that a step of the wall clock is noticed. */
  public long now() {
    long now = base + (clock.nanos() - startNanos) / 1000;
    if (now - lookedAt >= LOOK_EVERY) {
      look(now);
    }
    return now;
  }

  /** This clock's time for one of the steady clock's. */
  long ofNanos(long nanos) {
    return base + (nanos - startNanos) / 1000;
  }

  private void look(long now) {
    lookedAt = now;
    long distance = clock.unixMillis() * 1000 - now;
    if (now - windowSince >= WINDOW) {
      // After two windows without a look, what was seen before them is no longer of use.
      leastBefore = now - windowSince >= 2 * WINDOW ? distance : least;
      least = distance;
      windowSince = now;
    }
    least = Math.min(least, distance);
  }

  /** This clock's time for a Unix time in milliseconds; 0 stays 0, which means long ago. */
  long ofUnixMillis(long millis) {
    look(now());
    return millis <= 0 ? 0 : Math.max(1, millis * 1000 - Math.min(least, leastBefore));
  }
}
