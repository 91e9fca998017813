/**
 * Fleets of members without proxies, in virtual time: as large as wanted, to measure how soon views
 * follow the truth and what that costs. Whole proxies with a fleet are {@link brassbank.sim}'s.
 */
package brassbank.sim.members;
