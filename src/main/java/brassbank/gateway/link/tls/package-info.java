/**
 * Who may speak with whom: certificates and keys from PEM files, and the TLS 1.3 engine between a
 * link's bytes and the wire's. It has no connection and no clock of its own; what costs more than a
 * moment runs where the caller says. The JDK's own TLS does the work.
 *
 * <p>It knows the names of gateways ({@code frame}) and the project's clocks, nothing else.
 */
package brassbank.gateway.link.tls;
