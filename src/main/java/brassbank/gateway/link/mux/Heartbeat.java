package brassbank.gateway.link.mux;

import brassbank.gateway.link.frame.FrameException;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * When to ask the other side for a sign of life, what the round trip is, and when it has been
 * silent for too long. Both count: nothing at all from it, and no answer to what was asked, since a
 * network may carry one way only.
 */
final class Heartbeat {
  /** Of the smoothed round trip an eighth is new, as with TCP (RFC 6298, section 2). */
  private static final int SMOOTHING = 8;

  /** The other side looks back for its least delay at least six times as long as this one. */
  private static final long SPAN_MICROS = 5_000_000;

  private final long period;
  private final long silence;
  private final long begun;

  /** Stamps of what was asked and not answered, oldest first. */
  private final Deque<Long> asked = new ArrayDeque<>();

  private final LeastDelay least = new LeastDelay(SPAN_MICROS);
  private long lastCame;
  private long nextAt;
  private boolean due;
  private long dueSince;
  private long smoothed = -1;

  Heartbeat(long period, long silence, long now) {
    this.period = period;
    this.silence = silence;
    begun = now;
    lastCame = now;
    nextAt = now;
  }

  /** Something has come from the other side. */
  void came(long now) {
    lastCame = now;
  }

  boolean silent(long now) {
    return now >= silentAt();
  }

  private long silentAt() {
    long unanswered = Long.MAX_VALUE;
    if (!asked.isEmpty()) {
      unanswered = begun + asked.peek();
    } else if (due) {
      // It cannot even be sent: the network takes nothing any longer.
      unanswered = dueSince;
    }
    return Math.min(lastCame, unanswered) + silence;
  }

  long nextDue() {
    return Math.min(nextAt, silentAt());
  }

  void tick(long now) {
    if (now >= nextAt) {
      dueSince = due ? dueSince : now;
      due = true;
      nextAt = now + period;
    }
  }

  /** Whether the next ping is to go now. */
  boolean due() {
    return due;
  }

  /** The stamp of a ping that goes now. */
  long ask(long now) {
    due = false;
    asked.add(now - begun);
    return now - begun;
  }

  /** An answer has come; the other side may leave earlier ones out. */
  void answered(long stamp, long now) throws FrameException {
    Long first = asked.poll();
    while (first != null && first < stamp) {
      first = asked.poll();
    }
    if (first == null || first != stamp) {
      throw new FrameException("PONG without its PING");
    }
    long trip = now - begun - stamp;
    least.add(trip, now);
    smoothed = smoothed < 0 ? trip : smoothed + (trip - smoothed) / SMOOTHING;
  }

  /** The smoothed round trip, or -1 before the first. */
  long roundTrip() {
    return smoothed;
  }

  /** The least of late, of which the other side's least delay is no more than a part. */
  long leastTrip() {
    return least.least();
  }
}
