/**
 * The operators' door: calls by HTTP/1.1 in, answers out, and no state of the proxy's. What a call
 * asks for goes to {@link brassbank.management.Operators}. docs/management.md has the calls.
 */
package brassbank.management;
