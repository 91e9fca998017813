/**
 * The load generator: measures the same traffic directly and through the real proxy process, in one
 * run.
 *
 * <p>The tool implements the protocol independently, on plain NIO with its own line parser, stub
 * hosts and a stub discovery service, so that it cannot share a fault with the proxy. For the same
 * reason it uses no other package of the program, and only the command line uses this package. All
 * received bytes are verified on arrival: a lost, invented or reordered byte fails the run.
 *
 * <p>A {@link brassbank.load.Reactor} is one event-loop thread with its connections and timers,
 * which are confined to that thread. The measurements run on the caller's thread and query the
 * reactors for counters. All traffic stays on loopback.
 */
package brassbank.load;
