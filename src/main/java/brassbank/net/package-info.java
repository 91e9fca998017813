/** Sockets only: Grizzly's transport and chains, line framing, paired connections, timers. */
package brassbank.net;
