package brassbank.membership.wire;

/** Why a datagram is dropped. */
public enum DropReason {
  /** Shorter than any, longer than allowed, or without the mark: something else's. */
  FOREIGN,
  /** Cut off or damaged on its way. */
  DAMAGED,
  /** Of a version that this program does not speak. */
  VERSION,
  /** Of another fleet. */
  FLEET,
  /** Whole, and yet nothing that a member would send. */
  MALFORMED
}
