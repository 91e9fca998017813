/**
 * The blocking facade in front of the decision module {@code ashspar}: {@code pick}, {@code report}
 * and {@code tick} return the resulting decisions. Nothing outside this package sees the module's
 * events or actions.
 */
package brassbank.decide;
