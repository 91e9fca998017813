/**
 * Selects the stream hosts that a proxy of a large fleet probes and on which it places sessions
 * first, from the live proxies and the hosts that discovery reports. The package is pure.
 * docs/subsets.md compares the alternatives and has the rule and its bound.
 */
package brassbank.subsets;
