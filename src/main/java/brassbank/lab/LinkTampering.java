package brassbank.lab;

import brassbank.sim.net.Machine;

/** Links that misbehave on purpose: the tests plant them, to show that a rule can be broken. */
interface LinkTampering {
  /** Nothing misbehaves. */
  LinkTampering NONE = new LinkTampering() {};

  /** What goes on in place of what a process has written to one whom it has connected to. */
  default byte[] alter(byte[] bytes) {
    return bytes;
  }

  /** Where a connect ends that is meant for this machine. */
  default Machine redirect(Machine to) {
    return to;
  }

  /** How often a datagram of this proxy's goes on, once as it is. */
  default int datagramCopies(String proxy) {
    return 1;
  }

  /** When this proxy is killed, it lives on, and its clients' connections are left as they are. */
  default boolean survivesKill(String proxy) {
    return false;
  }
}
