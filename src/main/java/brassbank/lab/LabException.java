package brassbank.lab;

/** The lab itself cannot go on; nothing is told of any proxy. */
public final class LabException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  LabException(String message) {
    super(message);
  }

  LabException(String message, Throwable cause) {
    super(message, cause);
  }
}
