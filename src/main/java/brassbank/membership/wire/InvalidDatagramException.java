package brassbank.membership.wire;

/** A datagram that is dropped. */
public final class InvalidDatagramException extends Exception {
  private static final long serialVersionUID = 1L;

  private final DropReason reason;

  public InvalidDatagramException(DropReason why, String what) {
    // Whoever sends rubbish must not make the receiver walk through its stack.
    super(what, null, false, false);
    this.reason = why;
  }

  public DropReason reason() {
    return reason;
  }
}
