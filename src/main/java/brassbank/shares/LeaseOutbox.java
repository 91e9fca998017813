package brassbank.shares;

import java.net.InetSocketAddress;

/** Where what is said of seats goes; it may be lost. */
public interface LeaseOutbox {
  void send(InetSocketAddress to, LeaseMessage message);
}
