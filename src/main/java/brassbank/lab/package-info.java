/**
 * The fleet lab: runs real proxy processes on loopback among the simulated actors, faults and rules
 * of {@code brassbank.sim}, which are driven by the real clock here. This package does the I/O on
 * sockets, processes and files; the rules stand in {@code sim.check}, the faults in {@code
 * sim.fault}. It uses no class of the proxy itself and meets the proxies as processes only.
 * docs/lab.md describes how to use the lab and what it leaves out.
 *
 * <p>One thread ({@link brassbank.lab.RealTimeDriver}) runs everything that does not block.
 * Starting processes, management calls and reading {@code /proc} run on background threads, which
 * post their results to it as tasks.
 */
package brassbank.lab;
