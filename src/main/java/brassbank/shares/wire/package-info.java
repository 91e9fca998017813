/**
 * Encodes and decodes the messages of {@link brassbank.shares}, whose datagrams share one socket
 * with those of the membership protocol.
 */
package brassbank.shares.wire;
