package brassbank.membership;

/**
 * The believed state of a member. Of two updates with the same incarnation the one with the later
 * state in this order wins.
 */
public enum State {
  /** The member answers, or has not been suspected. */
  ALIVE,

  /** A probe of the member failed; it has limited time to refute the suspicion. */
  SUSPECT,

  /** The member did not refute a suspicion in time. */
  DEAD,

  /** The member has announced that it leaves. */
  LEFT;

  /** Returns whether the member counts as a live member: alive or suspected. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
