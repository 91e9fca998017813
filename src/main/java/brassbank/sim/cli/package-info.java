/**
 * The commands {@code simulate} (ranges of seeds, single runs with a trace, shrinking, scripts) and
 * {@code experiment}.
 */
package brassbank.sim.cli;
