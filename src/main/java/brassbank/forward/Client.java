package brassbank.forward;

import brassbank.net.Link;

/**
 * The client of a flow, as its protocol implements it. Exactly one of {@link #establish}, {@link
 * #refuse} and {@link #fail} is called. All methods are called on the event loop.
 */
public interface Client {
  /** Returns the first line for a target, which states how long the proxy waits for the answer. */
  String openingLine(long remainingMillis);

  /** Relays the target's first line to the client and hands over the client's link. */
  Link establish(String line);

  /**
   * Refuses the flow; a retry is harmless.
   *
   * @param retryMillis how long the client should wait before it retries, 0 for no hint
   */
  void refuse(long retryMillis);

  /** Fails the flow, which may or may not have run. */
  void fail();

  /** Returns the final line for a client that is asked to reconnect. */
  String farewellLine();

  /** Called when the connection that was established by {@link #establish} has ended. */
  void flowEnded();
}
