package brassbank.lifecycle;

import static brassbank.lifecycle.State.ACTIVE;
import static brassbank.lifecycle.State.DRAINING;
import static brassbank.lifecycle.State.STANDBY;
import static brassbank.lifecycle.State.STARTING;
import static brassbank.lifecycle.State.STOPPING;

/**
 * The proxy's state, and the one plan by which its clients leave, whatever they leave for.
 *
 * <p>Each pair of state and event has its outcome in a table; most change nothing, and none is an
 * error, so that a call can be repeated. O(1) each.
 *
 * <p>No clock, no thread, no I/O; called from one thread. All times are microseconds of the
 * caller's clock.
 */
public final class Lifecycle {
  /** For each state, in their order, what it becomes by each event, in theirs. */
  private static final State[][] TABLE = {
    // SERVING, STANDBY, ACTIVE, GONE, STOP
    /* STARTING */ {ACTIVE, DRAINING, STARTING, STARTING, STOPPING},
    /* ACTIVE */ {ACTIVE, DRAINING, ACTIVE, ACTIVE, STOPPING},
    /* DRAINING */ {DRAINING, DRAINING, ACTIVE, STANDBY, STOPPING},
    /* STANDBY */ {STANDBY, STANDBY, ACTIVE, STANDBY, STOPPING},
    /* STOPPING */ {STOPPING, STOPPING, STOPPING, STOPPING, STOPPING},
  };

  private State state = STARTING;

  /** The state that a stop came in. */
  private State last = STARTING;

  private boolean hasSuccessor;

  /** Null unless clients are on their way out. */
  private DrainSchedule drainSchedule;

  private int departures;

  /** What becomes of the state {@code from} by the event. */
  static State after(State from, Event event) {
    return TABLE[from.ordinal()][event.ordinal()];
  }

  /** What the proxy is now. */
  public State state() {
    return state;
  }

  /**
   * Something has happened.
   *
   * @return whether a departure has begun, whose first {@link #step} is due now
   */
  public boolean handle(Event event, long now) {
    State before = state;
    state = after(before, event);
    if (state == before) {
      return false;
    }
    drainSchedule = state == DRAINING ? DrainSchedule.toStandby(now) : null;
    departures += state == DRAINING ? 1 : 0;
    return state == DRAINING;
  }

  /**
   * The program is to end. A second signal changes nothing; what a drain has promised holds.
   *
   * @param killAt when the program may be killed
   * @return whether a departure has begun, as with {@link #handle}
   */
  public boolean stop(long now, long killAt) {
    if (state == STOPPING) {
      return false;
    }
    last = state;
    state = after(state, Event.STOP);
    drainSchedule = DrainSchedule.beforeKill(now, killAt).noLaterThan(drainSchedule);
    departures++;
    return true;
  }

  /** Another process takes the proxy's clients from here on, or none does any longer. */
  public void setSuccessorPresent(boolean isPresent) {
    hasSuccessor = isPresent;
  }

  /** Whether the proxy takes clients: by this process, or by one that has succeeded it. */
  public boolean admitsClients() {
    return state == ACTIVE || (state == STOPPING && hasSuccessor && last == ACTIVE);
  }

  /** The departure under way, or null. */
  public DrainSchedule drainSchedule() {
    return drainSchedule;
  }

  /** The number of the latest departure: a step that was due in an earlier one is void. */
  public int drainNumber() {
    return departures;
  }

  /** Whether a client that comes now is turned away, since it could not stay. */
  public boolean refusesClients(long now) {
    return state == STANDBY || (drainSchedule != null && drainSchedule.over(now));
  }

  /** How long a client that is refused now had better wait; 0 where no better time is known. */
  public long retryDelayMicros(long now) {
    if (drainSchedule != null) {
      return drainSchedule.comeBackAfter(now);
    }
    return state == STANDBY ? DrainSchedule.LEAST_RETRY : 0;
  }

  /**
   * Takes the departure one step on. A drain without clients is over once the front has had time to
   * hear of it.
   *
   * @param left the clients that are still to be sent away
   * @param open those and the flows that have an attempt out
   * @return what to do now, and when to ask again; null where nobody is leaving
   */
  public DrainSchedule.Step step(long now, int left, int open) {
    if (drainSchedule == null) {
      return null;
    }
    DrainSchedule.Step step = drainSchedule.step(now, left);
    if (state == DRAINING && (drainSchedule.over(now) || (open == 0 && drainSchedule.quiet(now)))) {
      handle(Event.GONE, now);
    }
    return step;
  }
}
