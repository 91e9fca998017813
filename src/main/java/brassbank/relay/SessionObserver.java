package brassbank.relay;

import brassbank.relay.limits.DisconnectDecision;
import brassbank.relay.limits.Side;

/** Who is told what changes in a standing session; never of each line. */
public interface SessionObserver {
  /** The client has sent a line, and the one before it had been answered. */
  void requestRelayed();

  /** The target has sent a line other than those below, the first since {@link #requestRelayed}. */
  void responseRelayed();

  /** The target tells a load; the text is anybody's. */
  void loadReported(String text);

  /** The target has served the session to its end: what comes next is the end. */
  void byeReceived();

  /** The target sends its client away: what comes next is the end. */
  void moveReceived();

  /** One side has ended the session; nothing is told after that. */
  void ended(boolean byClient, boolean reset);

  /**
   * One side is too slow and is given up; nothing is told after that.
   *
   * @return the last line for the client, which is sent where it can be
   */
  String slowPeerDisconnected(Side side, DisconnectDecision.Reason reason);
}
