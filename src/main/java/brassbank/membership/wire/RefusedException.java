package brassbank.membership.wire;

/** A datagram that is dropped. */
public final class RefusedException extends Exception {
  private static final long serialVersionUID = 1L;

  private final Refused why;

  public RefusedException(Refused why, String what) {
    // Whoever sends rubbish must not make the receiver walk through its stack.
    super(what, null, false, false);
    this.why = why;
  }

  public Refused why() {
    return why;
  }
}
