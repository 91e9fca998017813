package brassbank.lifecycle;

/**
 * When clients that are to leave are moved: one after the other, evenly, and all of them in time.
 * They are moved as late as that allows, since whoever is moved early has nowhere better to go.
 *
 * <p>Each {@link #step} is told how many clients are left and spreads them over what is left of the
 * time, so that clients that leave by themselves slow the others' pace. What a late step missed it
 * makes up for. A step costs O(1).
 *
 * <p>No clock, no thread, no I/O; called from one thread. All times are microseconds of the
 * caller's clock.
 */
public final class DrainSchedule {
  private static final long MILLI = 1_000;

  /**
   * The last client is moved this long before the kill: a farewell may wait 0.5 s for the end of a
   * line on its way ({@code net.Pair}), and the program ends 0.1 s before the kill.
   */
  static final long END_MARGIN = 600 * MILLI;

  /**
   * After a call for standby the last client is moved by then. It may be held for 4 s; a farewell
   * waits as above, and a starved core needs the rest.
   */
  static final long STANDBY = 3_000 * MILLI;

  /** The least time that moves are spread over, so that even a few never come back all at once. */
  static final long LEAST_WINDOW = 400 * MILLI;

  /** Each client has this much time of its own; docs/start-and-stop.md has the measurement. */
  static final long PER_CLIENT = 3 * MILLI;

  /**
   * For so long after the signal or the call the front may still send clients here (PROTOCOL,
   * Figures).
   */
  static final long STILL_COMING = 400 * MILLI;

  /** A refused client is asked to wait at least this long, as the module asks its own. */
  static final long LEAST_RETRY = 100 * MILLI;

  /** The least time between two steps; a faster pace takes several clients in one. */
  private static final long LEAST_PAUSE = MILLI;

  /** The plan asks again this soon while it waits to begin: clients come and go meanwhile. */
  private static final long LOOK_AGAIN = 50 * MILLI;

  /**
   * What is to be done now, and when to ask again.
   *
   * @param count how many clients to send away now
   * @param next the time of the next step, later than now
   */
  public record Step(int count, long next) {}

  private final long start;
  private final long end;

  /** When the next client is due, once the first has gone. */
  private long due;

  private boolean begun;

  private DrainSchedule(long now, long end) {
    start = now;
    this.end = Math.max(now, end);
  }

  /**
   * For a program that is to end.
   *
   * @param now when the signal came
   * @param killAt when the program may be killed; where that is nearer than the margin, all clients
   *     are sent away at once
   */
  static DrainSchedule beforeKill(long now, long killAt) {
    return new DrainSchedule(now, killAt - END_MARGIN);
  }

  /** For a program that stays, and is to hold no client soon after {@code now}, the call. */
  static DrainSchedule toStandby(long now) {
    return new DrainSchedule(now, now + STANDBY);
  }

  /** The same departure, over no later than another that has begun before. */
  DrainSchedule noLaterThan(DrainSchedule other) {
    return other == null ? this : new DrainSchedule(start, Math.min(end, other.end));
  }

  /** Whether the time is up, so that all who are left must go now. */
  boolean over(long now) {
    return now >= end;
  }

  /**
   * What to do now.
   *
   * @param left the clients that are still to be sent away, 0 or more
   */
  Step step(long now, int left) {
    if (over(now)) {
      return new Step(left, now + LOOK_AGAIN);
    }
    long begin = begin(left);
    if (left == 0 || now < begin) {
      return new Step(0, Math.max(now + 1, Math.min(Math.min(begin, end), now + LOOK_AGAIN)));
    }
    due = begun ? due : now;
    begun = true;
    // From when the step was due, not from now: what a late caller missed is made up for at once,
    // where a pace that only quickened left most clients for the last moment.
    long time = end - due;
    long late = now - due;
    long count = Math.min(left, 1 + late * left / time);
    due += Math.max(1, count * time / left);
    return new Step((int) count, Math.max(due, now + LEAST_PAUSE));
  }

  /** When the first of so many clients is moved, if none leaves by itself. */
  private long begin(int left) {
    return Math.max(start, end - Math.max(LEAST_WINDOW, left * PER_CLIENT));
  }

  /** Whether the front has had time to hear that no clients are wanted. */
  boolean quiet(long now) {
    return now >= start + STILL_COMING;
  }

  /** How long a client that is refused now had better wait: until the front sends it elsewhere. */
  long comeBackAfter(long now) {
    return Math.max(LEAST_RETRY, start + STILL_COMING - now);
  }

  /** How long the first of so many clients stays, if none leaves by itself. */
  public long untilFirst(long now, int left) {
    return Math.max(0, begin(left) - now);
  }

  /** How long the last one stays at most. */
  public long untilEnd(long now) {
    return Math.max(0, end - now);
  }
}
