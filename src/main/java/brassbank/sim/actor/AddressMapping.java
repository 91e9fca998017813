package brassbank.sim.actor;

import brassbank.sim.net.Machine;

/**
 * Maps a machine to the address under which a proxy reaches it, which the protocol allows to differ
 * between proxies.
 */
public interface AddressMapping {
  /** Every proxy reaches a machine under the machine's own address. */
  AddressMapping OWN = (proxy, machine, port) -> machine.address().getHostAddress() + ":" + port;

  /** Returns {@code address:port} as discovery reports it to the proxy of this name. */
  String addressOf(String proxy, Machine machine, int port);
}
