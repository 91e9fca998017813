/**
 * The management interface: receives operators' HTTP/1.1 requests and answers them. The package
 * holds no state of the proxy; {@link brassbank.management.ManagementOperations} executes the
 * requests. docs/management.md lists them.
 */
package brassbank.management;
