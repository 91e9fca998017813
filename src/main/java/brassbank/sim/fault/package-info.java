/**
 * What goes wrong: the kinds of fault, how a seed switches a random subset of them on and draws
 * their times, and the script that pins them. Uses {@code sim.actor}, {@code sim.net} and {@code
 * sim.time}; which proxies it meets, real processes or others, it does not know.
 */
package brassbank.sim.fault;
