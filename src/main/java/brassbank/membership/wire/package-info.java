/**
 * Encodes and decodes membership messages as datagrams. All integers are big-endian;
 * docs/membership.md specifies the layout field by field.
 */
package brassbank.membership.wire;
