/**
 * Virtual time and randomness: the event queue of the simulation and the seeded streams that all
 * random numbers are drawn from. Does not depend on networks or proxies, and reads no other clock.
 */
package brassbank.sim.time;
