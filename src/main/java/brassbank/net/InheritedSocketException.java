package brassbank.net;

import java.io.IOException;

/** Thrown when the process was to use an inherited listening socket and has none. */
public final class InheritedSocketException extends IOException {
  private static final long serialVersionUID = 1L;

  public InheritedSocketException(String message) {
    super(message);
  }
}
