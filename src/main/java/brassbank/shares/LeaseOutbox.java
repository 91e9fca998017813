package brassbank.shares;

import java.net.InetSocketAddress;

/** Sends lease messages, which may be lost. */
public interface LeaseOutbox {
  void send(InetSocketAddress to, LeaseMessage message);
}
