package brassbank.membership;

import java.net.InetSocketAddress;

/** Where a member's decisions go. Called on the thread that called the member. */
public interface Outbox {
  /** Sends a datagram; it may be lost. */
  void send(InetSocketAddress to, Message message);

  /** The view has changed; changes come in order. */
  default void viewChanged(ViewChange change) {}

  /** Another process says that it has this one's name, and stands at this address. */
  default void nameTaken(InetSocketAddress by, boolean yields) {}
}
