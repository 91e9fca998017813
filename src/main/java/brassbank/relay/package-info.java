/**
 * Established sessions: the link of a client, the link of its target, and the bytes relayed between
 * them.
 *
 * <p>{@link brassbank.relay.RelayedSession} relays the bytes of one session. {@link
 * brassbank.relay.HostLineParser} and {@link brassbank.relay.ClientLineTracker} find the lines in
 * the shared read buffer, without copying them. {@link brassbank.relay.Relay} applies the decisions
 * of {@link brassbank.relay.limits} on slow peers. For the event loop's thread only. The package
 * depends on the network and on the limits; admission and placement of flows are up to the caller
 * that hands in the links.
 */
package brassbank.relay;
