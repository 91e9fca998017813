package brassbank.decide;

import java.util.PriorityQueue;

/**
 * Pending timers, ordered by due time and then by the order of scheduling. A timer cannot be
 * cancelled: its handler checks whether it still applies. Times are microseconds of the facade's
 * clock. Not thread-safe.
 */
final class TimerQueue {
  /** What a timer is for. */
  enum Kind {
    /** A timer of the decision module. */
    MODULE,
    /** The answer to a forward is due. */
    FORWARD_DUE,
    /** The final answer to a flow is due. */
    ANSWER_DUE,
    /** A request relayed over an established connection must have been answered. */
    UNANSWERED,
    /** A connection from before this proxy's start is tried again at its own target. */
    REJOIN,
    /** The next step of a drain. */
    LEAVE
  }

  /**
   * A scheduled timer.
   *
   * @param sequence the order of scheduling, for timers due at the same time
   * @param subject the module's token, the number of a drain, or a flow's id
   * @param forwardNumber the forward that the timer concerns, 0 for none
   */
  record Timer(long dueMicros, long sequence, Kind kind, long subject, int forwardNumber) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(
          (a, b) ->
              a.dueMicros() != b.dueMicros()
                  ? Long.compare(a.dueMicros(), b.dueMicros())
                  : Long.compare(a.sequence(), b.sequence()));
  private long nextSequence;

  void schedule(long dueMicros, Kind kind, long subject, int forwardNumber) {
    timers.add(new Timer(dueMicros, nextSequence++, kind, subject, forwardNumber));
  }

  void schedule(long dueMicros, Kind kind, long subject) {
    schedule(dueMicros, kind, subject, 0);
  }

  /** Returns the due time of the earliest timer, or {@link Long#MAX_VALUE} if there is none. */
  long nextDueMicros() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueMicros();
  }

  /** Removes and returns the earliest timer that is due at {@code nowMicros}, or null. */
  Timer pollDue(long nowMicros) {
    return nextDueMicros() <= nowMicros ? timers.poll() : null;
  }
}
