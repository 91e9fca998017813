package brassbank.net;

import java.io.IOException;

/** The program was told of a listening socket that it has not inherited. */
public final class InheritanceException extends IOException {
  private static final long serialVersionUID = 1L;

  public InheritanceException(String message) {
    super(message);
  }
}
