/**
 * The rules, one class each: what must hold of a run, judged by nothing but its events and by what
 * {@link brassbank.sim.check.GroundTruth} tells of whether the network was to blame. No rule does
 * any I/O, and none knows how the proxy works. Uses {@code sim.event} only.
 */
package brassbank.sim.check;
