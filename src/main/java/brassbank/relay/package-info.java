/**
 * Standing sessions: a client's link and its target's, and the bytes between them.
 *
 * <p>{@link brassbank.relay.RelayedSession} passes the bytes of one session, {@link
 * brassbank.relay.HostLineParser} and {@link brassbank.relay.ClientLineTracker} follow their lines
 * where they lie, and {@link brassbank.relay.Relay} carries out what {@link brassbank.relay.limits}
 * decides on slow peers. All of it is for the loop's thread. Arrows point to the network and to the
 * limits; who is served, and what becomes of a flow, is the business of those who hand the links
 * in.
 */
package brassbank.relay;
