/**
 * This program as a member of its fleet: the pure {@link brassbank.membership.Membership} on the
 * one loop, with a socket for datagrams. Nothing here is loaded where no fleet is configured.
 */
package brassbank.fleet;
