/**
 * What two gateways owe each other on one link, as state machines with the time passed in: the
 * sessions with their credit and their turns, the leases of attempts, the heartbeats, the tellings
 * of room, and the link's end. Bytes go in and come out; nothing here does input or output, reads a
 * clock or starts a thread. It knows the frames and no other package of the project.
 *
 * <p>All times are microseconds of one steady clock, with any origin.
 */
package brassbank.gateway.link.mux;
