package brassbank.membership;

/** What is believed of a member; of one incarnation the later of these goes before the earlier. */
public enum State {
  /** It answers, or nobody has doubted it. */
  ALIVE,

  /** Somebody had no answer from it; it has some time to refute that. */
  SUSPECT,

  /** It did not refute it in time. */
  DEAD,

  /** It has said goodbye. */
  LEFT;

  /** Whether it is still counted as there. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECT;
  }
}
