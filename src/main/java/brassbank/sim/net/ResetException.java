package brassbank.sim.net;

import java.io.IOException;

/** Thrown if the peer has reset the connection or this end has closed it. */
public final class ResetException extends IOException {
  private static final long serialVersionUID = 1L;

  ResetException(String message) {
    super(message);
  }
}
