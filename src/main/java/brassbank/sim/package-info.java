/**
 * Seeded fault simulation: complete, unchanged proxies in virtual time, under faults drawn from a
 * seed, with every rule checked. docs/simulation.md describes what is modelled and how to use it.
 *
 * <p>The packages, each of which uses only those before it: {@code time} (virtual time and
 * randomness), {@code net} (machines, TCP and datagrams), {@code event} (the events of a run),
 * {@code actor} (the hosts, clients and services that a proxy communicates with), {@code proxy}
 * (the real proxy on the simulated network), {@code check} (the rules), {@code fault} (the faults),
 * this package (one run, and the reduction of failing plans), {@code cli}.
 */
package brassbank.sim;
