package brassbank.membership;

import java.net.InetSocketAddress;

/** Receives the decisions of a {@link Membership}, on the thread that calls it. */
public interface Outbox {
  /** Sends a datagram, which may be lost. */
  void send(InetSocketAddress to, Message message);

  /** Reports a change of the view. Changes are reported in order. */
  default void viewChanged(ViewChange change) {}

  /**
   * Reports that another process uses this member's name.
   *
   * @param by the address of that process
   * @param yields whether this process gives up the name; otherwise it takes the name over
   */
  default void nameTaken(InetSocketAddress by, boolean yields) {}
}
