package brassbank.sim.actor;

import brassbank.sim.net.Machine;

/** Under which address a proxy meets a machine: the protocol lets it vary between proxies. */
public interface AddressMapping {
  /** Everybody meets it under its own. */
  AddressMapping OWN = (proxy, machine, port) -> machine.address().getHostAddress() + ":" + port;

  /** {@code address:port}, as the proxy of this name is told it. */
  String addressOf(String proxy, Machine machine, int port);
}
