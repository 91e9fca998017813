package brassbank.lab;

import brassbank.sim.net.Machine;

/** Hooks by which tests make links misbehave, to show that each rule detects its breach. */
interface LinkTampering {
  /** Changes nothing. */
  LinkTampering NONE = new LinkTampering() {};

  /** Returns what is forwarded instead of bytes that a process wrote on a connection it opened. */
  default byte[] alter(byte[] bytes) {
    return bytes;
  }

  /** Returns the machine that a connect to the given machine reaches. */
  default Machine redirect(Machine to) {
    return to;
  }

  /** Returns how many copies of a datagram of this proxy are forwarded; 1 is the normal case. */
  default int datagramCopies(String proxy) {
    return 1;
  }

  /** Returns whether a kill spares this proxy's process and its clients' connections. */
  default boolean survivesKill(String proxy) {
    return false;
  }
}
