package ashspar.limits;

/** How a set-up ended that was not answered with a connection. */
public enum SetupOutcome {
  /** The server turned it away. */
  REFUSED,
  /** The server could not be reached: it never ran. */
  UNREACHED,
  /** No answer came in time. */
  TIMED_OUT,
  /** It broke. */
  BROKE,
  /** The server answered with an error. */
  ERROR,
  /** Its client has left, or it was called off. */
  CALLED_OFF
}
