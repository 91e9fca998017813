/**
 * The connections of the proxy: sockets that carry lines or byte streams, their buffer memory and
 * the timers of the event loop.
 *
 * <p>{@link brassbank.net.Net} opens, accepts and counts connections, {@link brassbank.net.Link} is
 * one of them, and {@link brassbank.net.EventLoop} holds the timers. The operating system is behind
 * the interfaces {@link brassbank.net.Network} and {@link brassbank.net.Channel}, so that a
 * simulated network can replace it. The package depends neither on an implementation of these nor
 * on the decision module.
 */
package brassbank.net;
