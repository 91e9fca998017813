/** Datagrams of {@link brassbank.shares}, beside membership's on one socket. */
package brassbank.shares.wire;
