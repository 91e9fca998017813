package brassbank.membership.wire;

/** Why a datagram is dropped. The names are reported to operators in lower case. */
public enum DropReason {
  /**
   * Shorter or longer than any valid datagram, or without the magic number: sent by other software.
   */
  FOREIGN,
  /** Truncated or altered in transit. */
  DAMAGED,
  /** Of an unsupported protocol version. */
  VERSION,
  /** Of another fleet. */
  FLEET,
  /** Intact, but with content that no member sends. */
  MALFORMED
}
