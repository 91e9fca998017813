package ashspar.limits;

/** The outcomes of a set-up that was not answered with a connection. */
public enum SetupOutcome {
  /** The server refused it. */
  REFUSED,
  /** The server could not be reached, so the set-up never ran. */
  UNREACHED,
  /** The server did not answer in time. */
  TIMED_OUT,
  /** The connection broke. */
  BROKE,
  /** The server answered with an error. */
  ERROR,
  /** The client disconnected, or the attempt was cancelled. */
  CALLED_OFF
}
