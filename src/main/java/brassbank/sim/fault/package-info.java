/**
 * Fault injection: the kinds of fault, the random selection of kinds, times and targets by a seed,
 * and scripts that fix them. Uses {@code sim.actor}, {@code sim.net} and {@code sim.time}. It does
 * not depend on whether the proxies are simulated or real processes.
 */
package brassbank.sim.fault;
