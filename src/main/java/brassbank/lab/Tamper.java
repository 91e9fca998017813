package brassbank.lab;

import brassbank.sim.net.Machine;

/** Links that misbehave on purpose: the tests plant them, to show that a rule can be broken. */
interface Tamper {
  /** Nothing misbehaves. */
  Tamper NONE = new Tamper() {};

  /** What goes on in place of what a process has written to one whom it has connected to. */
  default byte[] said(byte[] bytes) {
    return bytes;
  }

  /** Where a connect ends that is meant for this machine. */
  default Machine meant(Machine to) {
    return to;
  }

  /** How often a datagram of this proxy's goes on, once as it is. */
  default int copies(String proxy) {
    return 1;
  }

  /** When this proxy is killed, it lives on, and its clients' connections are left as they are. */
  default boolean keepsClientsOf(String proxy) {
    return false;
  }
}
