/**
 * Structured logging: events with fields, and the lines as which they are written. The package uses
 * {@code java.util.logging}, from which it receives the lines of libraries, and the clock that it
 * is given. Every other package may log; this one depends on none of them.
 */
package brassbank.log;
