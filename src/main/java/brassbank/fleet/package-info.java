/**
 * This process as a member of its fleet: drives the pure {@link brassbank.membership.Membership}
 * and the lease protocol on the event loop, over one datagram socket. No class of this package is
 * loaded if no fleet is configured.
 */
package brassbank.fleet;
