/**
 * The adapter that runs balancers behind a line-based protocol, for use by a simulator. It takes no
 * decisions of its own.
 */
package ashspar.wire;
