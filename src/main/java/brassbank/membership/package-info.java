/**
 * Decentralised fleet membership and failure detection: SWIM (Das, Gupta, Motivala, 2002) with
 * Lifeguard (Dadgar, Phillips, Currey, 2018) and push-pull anti-entropy of whole views. The package
 * is pure: it opens no socket, starts no thread, and takes the time and random numbers from its
 * caller. docs/membership.md specifies the protocol.
 */
package brassbank.membership;
