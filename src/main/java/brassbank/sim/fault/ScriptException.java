package brassbank.sim.fault;

/**
 * Thrown for an invalid script; the message begins with the file and, if known, line and column.
 */
public final class ScriptException extends Exception {
  private static final long serialVersionUID = 1L;

  ScriptException(String message) {
    super(message);
  }
}
