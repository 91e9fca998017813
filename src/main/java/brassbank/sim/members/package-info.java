/**
 * Simulates fleets of membership participants without proxies, in virtual time, to measure how fast
 * views converge to the ground truth and at what network cost. Fleets of whole proxies are
 * simulated by {@link brassbank.sim}.
 */
package brassbank.sim.members;
