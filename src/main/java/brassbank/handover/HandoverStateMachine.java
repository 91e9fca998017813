package brassbank.handover;

/**
 * Who takes the connections of a listening socket that several processes hold: never two of them at
 * once, and one of them always but for the moment of a hand-over.
 *
 * <p>No clock, no thread, no I/O; called from one thread. All times are microseconds of the
 * caller's clock. A step costs O(1).
 */
public final class HandoverStateMachine {
  /** What this process does; the two locks that it holds follow from it. */
  public enum Phase {
    /** It cannot serve yet. */
    WAITING(false, false),

    /** It could serve, and waits until no predecessor accepts any more. */
    READY(true, false),

    /** It takes the socket's connections. */
    ACCEPTING(true, true),

    /** A successor takes them; what this one has accepted it carries on. */
    SUCCEEDED(true, false);

    private final boolean ready;
    private final boolean accepts;

    Phase(boolean ready, boolean accepts) {
      this.ready = ready;
      this.accepts = accepts;
    }

    /** Whether the process tells others that it could serve. */
    public boolean isReady() {
      return ready;
    }

    /** Whether it accepts, and tells others so. */
    public boolean isAccepting() {
      return accepts;
    }
  }

  /**
   * What the locks of the others say.
   *
   * @param predecessorAccepting an earlier process takes connections
   * @param successorReady a later process could serve, or does
   */
  public record View(boolean predecessorAccepting, boolean successorReady) {}

  /**
   * A predecessor that has not let go by then hangs, and accepts nothing either: whoever waits for
   * it must say yes within 6 s of its start.
   */
  static final long PATIENCE = 1_500_000;

  private Phase phase = Phase.WAITING;
  private long readySince;

  /** What this process does now. */
  public Phase phase() {
    return phase;
  }

  /**
   * What this process is to do from now on.
   *
   * @param able whether it could serve
   */
  public Phase step(long now, View view, boolean able) {
    switch (phase) {
      case WAITING -> {
        if (able) {
          phase = Phase.READY;
          readySince = now;
        }
      }
      case READY -> {
        if (view.successorReady()) {
          phase = Phase.SUCCEEDED;
        } else if (!view.predecessorAccepting() || now - readySince >= PATIENCE) {
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
          // Its successors have died: nobody else lets clients in.
          phase = Phase.READY;
          readySince = now;
        }
      }
      default -> throw new IllegalStateException("no such phase: " + phase);
    }
    return phase;
  }
}
