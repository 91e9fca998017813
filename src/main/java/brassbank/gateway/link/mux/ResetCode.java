package brassbank.gateway.link.mux;

/** Why a session is reset: the numbers that this version knows, see docs/gateway-protocol.md. */
public final class ResetCode {
  /** The opener wants its attempt no longer, or the far side's end is confirmed. */
  public static final int DONE = 0;

  /** The connection behind it, a client's or a stream host's, was reset. */
  public static final int BROKEN = 1;

  /** The peer behind it was too slow. */
  public static final int SLOW = 2;

  /** The lease ran out. */
  public static final int LEASE = 3;

  private ResetCode() {}
}
