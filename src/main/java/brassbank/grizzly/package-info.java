/**
 * The implementation of {@link brassbank.net.Network} on operating-system sockets: Grizzly's
 * transport with one selector thread and its filter chains. The only package that depends on
 * Grizzly; only the command line, which creates the network, depends on this package.
 */
package brassbank.grizzly;
