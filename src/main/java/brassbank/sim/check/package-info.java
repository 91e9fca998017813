/**
 * The rules that must hold in every run, one class each. A rule decides from the run's events and
 * from what {@link brassbank.sim.check.GroundTruth} reports about disturbances that the network or
 * an actor caused. No rule does any I/O, and none knows how the proxy works inside. Uses {@code
 * sim.event} only.
 */
package brassbank.sim.check;
