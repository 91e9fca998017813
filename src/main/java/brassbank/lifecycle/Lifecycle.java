package brassbank.lifecycle;

import static brassbank.lifecycle.State.ACTIVE;
import static brassbank.lifecycle.State.DRAINING;
import static brassbank.lifecycle.State.STANDBY;
import static brassbank.lifecycle.State.STARTING;
import static brassbank.lifecycle.State.STOPPING;

/**
 * The state machine of the proxy, with the schedule by which its clients are moved, both for a
 * standby and for a stop.
 *
 * <p>A table gives the next state for each pair of state and event. Most pairs change nothing, and
 * none is an error, so that an operator's call can be repeated. Each operation is O(1).
 *
 * <p>Not thread-safe. All times are microseconds of the caller's clock.
 */
public final class Lifecycle {
  /** The next state, by the ordinals of the state and of the event. */
  private static final State[][] TRANSITIONS = {
    // SERVING, STANDBY, ACTIVE, GONE, STOP
    /* STARTING */ {ACTIVE, DRAINING, STARTING, STARTING, STOPPING},
    /* ACTIVE */ {ACTIVE, DRAINING, ACTIVE, ACTIVE, STOPPING},
    /* DRAINING */ {DRAINING, DRAINING, ACTIVE, STANDBY, STOPPING},
    /* STANDBY */ {STANDBY, STANDBY, ACTIVE, STANDBY, STOPPING},
    /* STOPPING */ {STOPPING, STOPPING, STOPPING, STOPPING, STOPPING},
  };

  private State state = STARTING;

  /** The state in which the stop was requested. */
  private State stateBeforeStop = STARTING;

  /** Whether another process accepts this proxy's clients. */
  private boolean hasSuccessor;

  /** The schedule of the drain in progress, or null. */
  private DrainSchedule drainSchedule;

  private int drainCount;

  /** Returns the state that follows {@code from} on the event. */
  static State transition(State from, Event event) {
    return TRANSITIONS[from.ordinal()][event.ordinal()];
  }

  /** Returns the state of the proxy. */
  public State state() {
    return state;
  }

  /**
   * Processes an event.
   *
   * @return whether a drain has begun, whose first {@link #step} is due now
   */
  public boolean handle(Event event, long nowMicros) {
    State before = state;
    state = transition(before, event);
    if (state == before) {
      return false;
    }
    drainSchedule = state == DRAINING ? DrainSchedule.toStandby(nowMicros) : null;
    drainCount += state == DRAINING ? 1 : 0;
    return state == DRAINING;
  }

  /**
   * Begins the stop of the program. A second call changes nothing, and the stop does not extend a
   * drain that is in progress.
   *
   * @param killAtMicros when the program may be killed
   * @return whether a drain has begun, as with {@link #handle}
   */
  public boolean stop(long nowMicros, long killAtMicros) {
    if (state == STOPPING) {
      return false;
    }
    stateBeforeStop = state;
    state = transition(state, Event.STOP);
    drainSchedule = DrainSchedule.beforeKill(nowMicros, killAtMicros).noLaterThan(drainSchedule);
    drainCount++;
    return true;
  }

  /** Records whether another process accepts this proxy's clients. */
  public void setSuccessorPresent(boolean isPresent) {
    hasSuccessor = isPresent;
  }

  /** Whether the proxy accepts clients, in this process or in a successor. */
  public boolean admitsClients() {
    return state == ACTIVE || (state == STOPPING && hasSuccessor && stateBeforeStop == ACTIVE);
  }

  /** Returns the schedule of the drain in progress, or null. */
  public DrainSchedule drainSchedule() {
    return drainSchedule;
  }

  /** Returns the number of the latest drain; steps that were due in an earlier one are void. */
  public int drainNumber() {
    return drainCount;
  }

  /** Whether new clients are refused, since they would have to be moved at once. */
  public boolean refusesClients(long nowMicros) {
    return state == STANDBY || (drainSchedule != null && drainSchedule.isOver(nowMicros));
  }

  /** Returns how long a client refused now should wait before it retries, 0 if not known. */
  public long retryDelayMicros(long nowMicros) {
    if (drainSchedule != null) {
      return drainSchedule.retryDelayMicros(nowMicros);
    }
    return state == STANDBY ? DrainSchedule.MIN_RETRY_DELAY_MICROS : 0;
  }

  /**
   * Performs one step of the drain in progress. A drain without clients ends once the upstream load
   * balancer has had time to notice that the proxy admits no clients.
   *
   * @param left the number of clients that are still to be moved or refused
   * @param open {@code left} and the number of flows with an outstanding attempt
   * @return what to do now and when to call again, or null if no drain is in progress
   */
  public DrainSchedule.Step step(long nowMicros, int left, int open) {
    if (drainSchedule == null) {
      return null;
    }
    DrainSchedule.Step step = drainSchedule.step(nowMicros, left);
    if (state == DRAINING
        && (drainSchedule.isOver(nowMicros)
            || (open == 0 && drainSchedule.hasBalancerReacted(nowMicros)))) {
      handle(Event.GONE, nowMicros);
    }
    return step;
  }
}
