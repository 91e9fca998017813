package brassbank.relay;

import brassbank.relay.limits.DisconnectDecision;
import brassbank.relay.limits.Side;

/** Receives the state changes of an established session; it is not notified of every line. */
public interface SessionObserver {
  /** Reports a line of the client, the first since the target last responded. */
  void requestRelayed();

  /**
   * Reports a line of the target other than {@code LOAD}, {@code BYE} and {@code MOVE}, the first
   * since {@link #requestRelayed}.
   */
  void responseRelayed();

  /**
   * Reports that the target is not read from now on, because the client does not take what the
   * target has sent. What the target sends meanwhile is reported only once it is read.
   */
  void targetReadPaused();

  /** Reports that the target is read again after {@link #targetReadPaused}. */
  void targetReadResumed();

  /**
   * Reports a {@code LOAD} line of the target.
   *
   * @param text the rest of the line, as the target sent it and unchecked
   */
  void loadReported(String text);

  /** Reports {@code BYE}: the target has served the session completely and closes it next. */
  void byeReceived();

  /** Reports {@code MOVE}: the target asks the client to leave and closes the session next. */
  void moveReceived();

  /** Reports that one side has ended the session; no call follows. */
  void ended(boolean byClient, boolean reset);

  /**
   * Reports that a side is disconnected for being too slow; no call follows.
   *
   * @return the final line for the client, which is sent if it still can be
   */
  String slowPeerDisconnected(Side side, DisconnectDecision.Reason reason);
}
