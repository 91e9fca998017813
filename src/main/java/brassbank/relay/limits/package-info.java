/**
 * The limits on slow peers: how many bytes may be queued for a peer and for how long, which peers
 * are disconnected, and in which order when a memory budget is exceeded.
 *
 * <p>The package does no I/O, starts no thread and reads no clock; times are passed in, in
 * microseconds from any fixed origin. The relay reports queued and drained bytes, started and ended
 * lines and closed sessions, and requests decisions; only the relay ends sessions. The package
 * depends on no other. Not thread-safe: for the event loop's thread only.
 */
package brassbank.relay.limits;
