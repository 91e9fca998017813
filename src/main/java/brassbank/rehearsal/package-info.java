/**
 * A short run of {@code serve} on loopback for the build: the class-data archive holds the classes
 * that this run loads. The proxy does not use this package, and this package knows the proxy only
 * as a process that speaks the platform's protocols.
 */
package brassbank.rehearsal;
