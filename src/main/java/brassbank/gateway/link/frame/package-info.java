/**
 * The frames that two gateways exchange on a link, as bytes and as values; docs/gateway-protocol.md
 * is the format, field by field. Pure: no input or output, no clock, no state but that of a frame
 * which has come in part. It knows no other package of the project.
 */
package brassbank.gateway.link.frame;
