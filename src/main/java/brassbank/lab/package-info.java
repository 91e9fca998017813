/**
 * The fleet lab: real processes of the program on loopback, among the actors, faults and rules of
 * {@code brassbank.sim}, which are turned by the clock here. It touches sockets, processes and
 * files; what it judges by stands in {@code sim.check}, and what it plays in {@code sim.fault}.
 * Nothing of the program itself is used: the proxies are met as processes only. docs/lab.md says
 * how to use it and what it leaves out.
 *
 * <p>One thread ({@link brassbank.lab.RealTimeDriver}) does everything but what would wait:
 * starting processes, operators' calls and reading {@code /proc} are done by helpers, which hand
 * back what they found as tasks.
 */
package brassbank.lab;
