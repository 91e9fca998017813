/**
 * Compares variants of the fleet on the same seeds, by figures that are counted at hosts and
 * clients and paired by seed. docs/experiment.md explains how to read them.
 */
package brassbank.sim.experiment;
