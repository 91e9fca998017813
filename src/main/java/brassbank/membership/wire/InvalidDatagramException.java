package brassbank.membership.wire;

/** Thrown for a received datagram that is dropped. */
public final class InvalidDatagramException extends Exception {
  private static final long serialVersionUID = 1L;

  private final DropReason reason;

  public InvalidDatagramException(DropReason reason, String detail) {
    // No stack trace: a sender of invalid datagrams must not cause the cost of collecting one.
    super(detail, null, false, false);
    this.reason = reason;
  }

  public DropReason reason() {
    return reason;
  }
}
