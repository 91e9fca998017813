/**
 * The upgrade in place: which of several processes on one inherited listening socket takes its
 * connections. {@link brassbank.handover.HandoverStateMachine} decides on values alone; the locks
 * and the thread that looks at them stand beside it. docs/handover.md has the design.
 */
package brassbank.handover;
