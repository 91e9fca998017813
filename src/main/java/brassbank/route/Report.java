package brassbank.route;

/** What has happened, as the facade and the links tell it. */
public sealed interface Report {

  /**
   * What room this site has for a class now; each change of it, and at least four times a second.
   */
  record Own(String flowClass, Room room) implements Report {}

  /**
   * A link's hellos have been exchanged.
   *
   * @param link its connection's number, never used twice
   * @param slot which of the links of its pair it is, the same after it was lost and made again
   * @param incarnation which life of the peer speaks: it grows from start to start
   */
  record LinkUp(long link, Peer peer, int slot, long incarnation) implements Report {}

  /** A link has ended; {@code planned} if its end was announced. Nothing follows over it. */
  record LinkDown(long link, boolean planned) implements Report {}

  /** A message has come over the link. */
  record Heard(long link, Message message) implements Report {}

  /** Far side: a host of this site has taken the guest. */
  record GuestUp(Guest guest) implements Report {}

  /** Far side: all of the guest's attempts have ended, or its connection has. */
  record GuestEnded(Guest guest, int used, boolean mayHaveRun) implements Report {}

  /** Near side: the client of a flow that crossed has left, or its connection is over. */
  record Left(long flow) implements Report {}

  /** This gateway is to stop: it sends nothing across any more, and admits no guest. */
  record Stopping() implements Report {}
}
