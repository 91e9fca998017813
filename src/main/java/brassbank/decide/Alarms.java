package brassbank.decide;

import java.util.PriorityQueue;

/**
 * Times to look at something again, by when they are due and then by when they were set. An alarm
 * is never taken back: whoever hears it looks whether it still means anything. Times are
 * microseconds of the facade's clock. For one thread at a time.
 */
final class Alarms {
  /** What is to be looked at. */
  enum Kind {
    MODULE,
    FORWARD_DUE,
    ANSWER_DUE,
    UNANSWERED,
    REJOIN,
    LEAVE
  }

  /** {@code subject} is a token of the module's, a departure's number, or a flow's id. */
  record Alarm(long due, long order, Kind kind, long subject, int forward) {}

  private final PriorityQueue<Alarm> alarms =
      new PriorityQueue<>(
          (a, b) ->
              a.due() != b.due()
                  ? Long.compare(a.due(), b.due())
                  : Long.compare(a.order(), b.order()));
  private long count;

  void set(long due, Kind kind, long subject, int forward) {
    alarms.add(new Alarm(due, count++, kind, subject, forward));
  }

  void set(long due, Kind kind, long subject) {
    set(due, kind, subject, 0);
  }

  /** When the next one is due, or Long.MAX_VALUE. */
  long next() {
    return alarms.isEmpty() ? Long.MAX_VALUE : alarms.peek().due();
  }

  /** Takes the next one that is due by now, or null. */
  Alarm due(long now) {
    return next() <= now ? alarms.poll() : null;
  }
}
