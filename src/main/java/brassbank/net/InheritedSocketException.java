package brassbank.net;

import java.io.IOException;

/** The program was told of a listening socket that it has not inherited. */
public final class InheritedSocketException extends IOException {
  private static final long serialVersionUID = 1L;

  public InheritedSocketException(String message) {
    super(message);
  }
}
