/**
 * The simulated network: machines in zones, programs that run on them, datagrams, and TCP
 * connections as the kernels at both ends see them. Uses {@code sim.time} only and does not depend
 * on the protocols spoken over the connections.
 */
package brassbank.sim.net;
