package brassbank.handover;

/**
 * Decides which of several processes that share one listening socket accepts its connections: never
 * two processes at once, and always one of them except for the moment of a handover.
 *
 * <p>Not thread-safe. Performs no I/O and reads no clock; all times are microseconds of the
 * caller's clock. Each step costs O(1).
 */
public final class HandoverStateMachine {
  /** The phase of this process. The locks that the process holds follow from it. */
  public enum Phase {
    /** The process cannot serve clients yet. */
    WAITING(false, false),

    /** The process could serve clients and waits until no predecessor accepts connections. */
    READY(true, false),

    /** The process accepts the connections of the listening socket. */
    ACCEPTING(true, true),

    /** A successor accepts connections; this process serves those it has accepted. */
    SUCCEEDED(true, false);

    private final boolean ready;
    private final boolean accepting;

    Phase(boolean ready, boolean accepting) {
      this.ready = ready;
      this.accepting = accepting;
    }

    /** Returns whether the process announces to the others that it could serve clients. */
    public boolean isReady() {
      return ready;
    }

    /** Returns whether the process accepts connections, and announces so to the others. */
    public boolean isAccepting() {
      return accepting;
    }
  }

  /**
   * What the locks of the other processes indicate.
   *
   * @param predecessorAccepting whether an earlier process accepts connections
   * @param successorReady whether a later process could serve clients, or does
   */
  public record View(boolean predecessorAccepting, boolean successorReady) {}

  /**
   * How long a ready process waits for its predecessor. A predecessor that still holds its lock
   * after that hangs, and accepts no connections either. The bound keeps a successor within the 6 s
   * after its start in which it must report that it is serving.
   */
  static final long PREDECESSOR_TIMEOUT_MICROS = 1_500_000;

  private Phase phase = Phase.WAITING;
  private long readySinceMicros;

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /**
   * Advances the phase by at most one transition.
   *
   * @param nowMicros the current time
   * @param view what the locks of the other processes indicate
   * @param readyToServe whether this process could serve clients
   * @return the phase from now on
   */
  public Phase step(long nowMicros, View view, boolean readyToServe) {
    switch (phase) {
      case WAITING -> {
        if (readyToServe) {
          phase = Phase.READY;
          readySinceMicros = nowMicros;
        }
      }
      case READY -> {
        if (view.successorReady()) {
          phase = Phase.SUCCEEDED;
        } else if (!view.predecessorAccepting()
            || nowMicros - readySinceMicros >= PREDECESSOR_TIMEOUT_MICROS) {
          phase = Phase.ACCEPTING;
        }
      }
      case ACCEPTING -> {
        if (view.successorReady()) {
          phase = Phase.SUCCEEDED;
        }
      }
      case SUCCEEDED -> {
        if (!view.successorReady()) {
          // All successors have stopped, so that no other process accepts connections.
          phase = Phase.READY;
          readySinceMicros = nowMicros;
        }
      }
      default -> throw new IllegalStateException("unexpected phase: " + phase);
    }
    return phase;
  }
}
