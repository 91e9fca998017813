/**
 * The events of a simulation run, as values: simulated actors publish them, rules receive them and
 * the trace prints them. Uses {@code sim.time} only.
 */
package brassbank.sim.event;
