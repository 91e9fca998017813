package brassbank.load;

/** Thrown if a measurement cannot be made, or if received data differs from the data sent. */
final class LoadException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  LoadException(String message) {
    super(message);
  }

  LoadException(String message, Throwable cause) {
    super(message, cause);
  }
}
