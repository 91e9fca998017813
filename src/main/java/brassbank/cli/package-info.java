/**
 * The common part of the command line: help, version, usage errors and exit statuses, the same for
 * every command. {@code brassbank.Commands} passes the commands in. The package uses picocli and
 * the standard streams; commands depend on it, and it depends on no other package of the program.
 */
package brassbank.cli;
