/**
 * Links between the gateways of two sites: long-lived connections, several for a pair, that carry
 * many sessions each. {@link brassbank.gateway.link.Links} is the way in; what a link says is in
 * {@code frame}, what it owes in {@code mux}, who may speak in {@code tls}. Here are the
 * connections themselves: dialling, taking, renewing and ending them, on any {@link
 * brassbank.net.Network}.
 *
 * <p>It decides nothing about flows: whether one is sent over, and what becomes of it where its
 * link ends, is for whoever owns the links. Arrows point to {@code brassbank.net}, {@code log} and
 * {@code sources}. Nothing of it is loaded by a program that has no gateway configured.
 */
package brassbank.gateway.link;
