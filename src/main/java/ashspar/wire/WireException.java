package ashspar.wire;

/**
 * Thrown for input that violates the protocol. The message names the field and what is wrong with
 * it.
 */
public final class WireException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  WireException(String message) {
    super(message);
  }
}
