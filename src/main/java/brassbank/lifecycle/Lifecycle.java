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

  private boolean succeeded;

  /** Null unless clients are on their way out. */
  private Departure departure;

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
  public boolean on(Event event, long now) {
    State before = state;
    state = after(before, event);
    if (state == before) {
      return false;
    }
    departure = state == DRAINING ? Departure.toStandby(now) : null;
    departures += state == DRAINING ? 1 : 0;
    return state == DRAINING;
  }

  /**
   * The program is to end. A second signal changes nothing; what a drain has promised holds.
   *
   * @param killAt when the program may be killed
   * @return whether a departure has begun, as with {@link #on}
   */
  public boolean stop(long now, long killAt) {
    if (state == STOPPING) {
      return false;
    }
    last = state;
    state = after(state, Event.STOP);
    departure = Departure.beforeKill(now, killAt).noLaterThan(departure);
    departures++;
    return true;
  }

  /** Another process takes the proxy's clients from here on, or none does any longer. */
  public void succeeded(boolean yes) {
    succeeded = yes;
  }

  /** Whether the proxy takes clients: by this process, or by one that has succeeded it. */
  public boolean admits() {
    return state == ACTIVE || (state == STOPPING && succeeded && last == ACTIVE);
  }

  /** The departure under way, or null. */
  public Departure departure() {
    return departure;
  }

  /** The number of the latest departure: a step that was due in an earlier one is void. */
  public int number() {
    return departures;
  }

  /** Whether a client that comes now is turned away, since it could not stay. */
  public boolean refuses(long now) {
    return state == STANDBY || (departure != null && departure.over(now));
  }

  /** How long a client that is refused now had better wait; 0 where no better time is known. */
  public long comeBackAfter(long now) {
    if (departure != null) {
      return departure.comeBackAfter(now);
    }
    return state == STANDBY ? Departure.LEAST_RETRY : 0;
  }

  /**
   * Takes the departure one step on. A drain without clients is over once the front has had time to
   * hear of it.
   *
   * @param left the clients that are still to be sent away
   * @param open those and the flows that have an attempt out
   * @return what to do now, and when to ask again; null where nobody is leaving
   */
  public Departure.Step step(long now, int left, int open) {
    if (departure == null) {
      return null;
    }
    Departure.Step step = departure.step(now, left);
    if (state == DRAINING && (departure.over(now) || (open == 0 && departure.quiet(now)))) {
      on(Event.GONE, now);
    }
    return step;
  }
}
