package brassbank.forward;

import brassbank.net.Link;

/** A flow's client, as its front speaks to it. Exactly one of the three answers is given. */
public interface Client {
  /** The first line for a target, which says how long the proxy will wait. */
  String openingLine(long remainingMillis);

  /** Served: passes the target's line on, and hands the client's link over. */
  Link establish(String line);

  /** Refused: trying again is harmless, after so many milliseconds if not 0. */
  void refuse(long retryMillis);

  /** Failed. */
  void fail();

  /** The last line for a client that is to come again. */
  String farewellLine();

  /** The connection that stood after {@link #establish} is over. */
  void flowEnded();
}
