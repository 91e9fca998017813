/**
 * Variants of the fleet played on the same seeds, and what differs between them: figures counted at
 * hosts and clients, paired by seed. docs/experiment.md says how to read them.
 */
package brassbank.sim.experiment;
