/**
 * Who is in the fleet, as each member finds out for itself: SWIM (Das, Gupta, Motivala, 2002) with
 * Lifeguard (Dadgar, Phillips, Currey, 2018) and an exchange of whole views. Values in, values out:
 * no socket, no thread, no clock and no chance of its own. docs/membership.md has the protocol.
 */
package brassbank.membership;
