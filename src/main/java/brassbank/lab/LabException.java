package brassbank.lab;

/** Thrown when the lab itself cannot continue; it says nothing about any proxy. */
public final class LabException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  LabException(String message) {
    super(message);
  }

  LabException(String message, Throwable cause) {
    super(message, cause);
  }
}
