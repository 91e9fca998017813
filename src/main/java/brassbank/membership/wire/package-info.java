/**
 * A message as the bytes of one datagram, and back. All integers are big-endian; docs/membership.md
 * has the layout, field by field.
 */
package brassbank.membership.wire;
