package brassbank.lifecycle;

/**
 * The schedule by which clients are moved before the proxy leaves: one after the other, evenly
 * spaced, and all before the end of the schedule. Clients are moved as late as that allows, since
 * an early move gains them nothing.
 *
 * <p>Each {@link #step} receives the number of remaining clients and spreads them over the
 * remaining time, so that the pace slows when clients disconnect by themselves. A late step makes
 * up for the moves that it missed. A step is O(1).
 *
 * <p>Not thread-safe. All times are microseconds of the caller's clock.
 */
public final class DrainSchedule {
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * How long before the kill the last client is moved: the final line to a client may wait 0.5 s
   * for the end of a line that is being relayed, and the program exits 0.1 s before the kill.
   */
  static final long KILL_MARGIN_MICROS = 600 * MICROS_PER_MILLI;

  /**
   * How long after a request for standby the last client is moved. All clients must have left
   * within 4 s; the final line may wait 0.5 s as above, and the rest is a reserve for a starved
   * processor.
   */
  static final long STANDBY_LIMIT_MICROS = 3_000 * MICROS_PER_MILLI;

  /** The minimum time over which moves are spread, so that few clients do not reconnect at once. */
  static final long MIN_WINDOW_MICROS = 400 * MICROS_PER_MILLI;

  /** The time between two moves; docs/start-and-stop.md has the measurement. */
  static final long MICROS_PER_CLIENT = 3 * MICROS_PER_MILLI;

  /**
   * How long the upstream load balancer may send clients to the proxy after the signal or the
   * request.
   */
  static final long BALANCER_REACTION_MICROS = 400 * MICROS_PER_MILLI;

  /** The minimum retry delay for a refused client, the same as the decision module's. */
  static final long MIN_RETRY_DELAY_MICROS = 100 * MICROS_PER_MILLI;

  /** The minimum time between two steps; at a faster pace one step moves several clients. */
  private static final long MIN_STEP_MICROS = MICROS_PER_MILLI;

  /** The time between two steps before the first move, since the number of clients may change. */
  private static final long RECHECK_MICROS = 50 * MICROS_PER_MILLI;

  /**
   * One step of the schedule.
   *
   * @param count how many clients to move or refuse now
   * @param nextMicros when the next step is due, later than now
   */
  public record Step(int count, long nextMicros) {}

  private final long startMicros;
  private final long endMicros;

  /** When the next client is to be moved, once the first has been. */
  private long nextMoveMicros;

  private boolean hasStarted;

  private DrainSchedule(long nowMicros, long endMicros) {
    startMicros = nowMicros;
    this.endMicros = Math.max(nowMicros, endMicros);
  }

  /**
   * Returns a schedule for a program that must exit.
   *
   * @param nowMicros when the signal came
   * @param killAtMicros when the program may be killed; if that is within the margin, all clients
   *     are moved at once
   */
  static DrainSchedule beforeKill(long nowMicros, long killAtMicros) {
    return new DrainSchedule(nowMicros, killAtMicros - KILL_MARGIN_MICROS);
  }

  /** Returns a schedule for a program that stands by, from the operator's request on. */
  static DrainSchedule toStandby(long nowMicros) {
    return new DrainSchedule(nowMicros, nowMicros + STANDBY_LIMIT_MICROS);
  }

  /** Returns this schedule, ended no later than an earlier one, which may be null. */
  DrainSchedule noLaterThan(DrainSchedule other) {
    return other == null
        ? this
        : new DrainSchedule(startMicros, Math.min(endMicros, other.endMicros));
  }

  /** Whether the schedule has ended, so that all remaining clients must be moved now. */
  boolean isOver(long nowMicros) {
    return nowMicros >= endMicros;
  }

  /**
   * Returns what to do now.
   *
   * @param left the number of clients that are still to be moved or refused, 0 or more
   */
  Step step(long nowMicros, int left) {
    if (isOver(nowMicros)) {
      return new Step(left, nowMicros + RECHECK_MICROS);
    }
    long firstMove = firstMoveMicros(left);
    if (left == 0 || nowMicros < firstMove) {
      return new Step(
          0,
          Math.max(
              nowMicros + 1, Math.min(Math.min(firstMove, endMicros), nowMicros + RECHECK_MICROS)));
    }
    nextMoveMicros = hasStarted ? nextMoveMicros : nowMicros;
    hasStarted = true;
    // The pace is counted from when the step was due, not from now, so that a late step makes up
    // at once for missed moves. Merely raising the pace left most clients for the last moment.
    long remaining = endMicros - nextMoveMicros;
    long late = nowMicros - nextMoveMicros;
    long count = Math.min(left, 1 + late * left / remaining);
    nextMoveMicros += Math.max(1, count * remaining / left);
    return new Step((int) count, Math.max(nextMoveMicros, nowMicros + MIN_STEP_MICROS));
  }

  /** Returns when the first of the clients is moved, if none disconnects by itself. */
  private long firstMoveMicros(int left) {
    return Math.max(startMicros, endMicros - Math.max(MIN_WINDOW_MICROS, left * MICROS_PER_CLIENT));
  }

  /** Whether the upstream load balancer has had time to notice that no clients are admitted. */
  boolean hasBalancerReacted(long nowMicros) {
    return nowMicros >= startMicros + BALANCER_REACTION_MICROS;
  }

  /**
   * Returns how long a client refused now should wait before it retries: until the upstream load
   * balancer sends it to another proxy.
   */
  long retryDelayMicros(long nowMicros) {
    return Math.max(MIN_RETRY_DELAY_MICROS, startMicros + BALANCER_REACTION_MICROS - nowMicros);
  }

  /** Returns the time until the first of the clients is moved, if none disconnects by itself. */
  public long microsUntilFirstMove(long nowMicros, int left) {
    return Math.max(0, firstMoveMicros(left) - nowMicros);
  }

  /** Returns the maximum time until the last client is moved. */
  public long microsUntilEnd(long nowMicros) {
    return Math.max(0, endMicros - nowMicros);
  }
}
