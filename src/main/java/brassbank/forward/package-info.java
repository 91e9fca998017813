/** The side towards the targets: carries out decisions, forwards flows and probes targets. */
package brassbank.forward;
