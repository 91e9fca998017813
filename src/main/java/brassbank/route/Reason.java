package brassbank.route;

/** Why a flow has crossed, or stayed. */
public enum Reason {
  /** It crosses: it would wait here for longer than its class bears. */
  WAIT(true),
  /** It crosses: there is no place here. */
  NO_PLACE(true),
  /** It stays: the near side has room. */
  ROOM_HERE(false),
  /** It stays: it came over a link, or has crossed once. */
  CROSSED(false),
  /** It stays: a lease would not end before its deadline. */
  NO_TIME(false),
  /** It stays: no other site is known to have room for its class. */
  NO_ROOM(false),
  /** It stays: the sites that have room cannot be reached, or over links that flap or are slow. */
  NO_LINK(false),
  /** It stays: what it would gain is not clearly worth the crossing. */
  NOT_WORTH(false),
  /** It stays, by chance: the near side is a little thin, and a part of the flows is enough. */
  SPREAD(false),
  /** It stays: this gateway has taken its share of the room that was told. */
  SPENT(false),
  /** It stays: the gateway stops. */
  STOPPING(false);

  /** Whether the flow has crossed. */
  public final boolean crosses;

  Reason(boolean crosses) {
    this.crosses = crosses;
  }
}
