/**
 * Runs the production proxy on the simulated network: implements the interfaces of {@code
 * brassbank.net} on top of {@code sim.net} and models the lifecycle of a proxy's process. The
 * proxy's code itself is unchanged.
 */
package brassbank.sim.proxy;
