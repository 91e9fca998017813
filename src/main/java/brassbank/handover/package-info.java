/**
 * The upgrade in place: several processes inherit one listening socket, and this package decides
 * which of them accepts its connections. {@link brassbank.handover.HandoverStateMachine} decides on
 * values alone; {@link brassbank.handover.Handover} polls the lock file on a thread of its own and
 * exchanges state files between the processes. docs/handover.md describes the design.
 */
package brassbank.handover;
