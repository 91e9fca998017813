/**
 * The state of the proxy, the transitions between states, and the schedule by which clients are
 * moved during a drain. The classes are pure: no clock, no thread, no I/O, and no dependency on any
 * other package of the project.
 */
package brassbank.lifecycle;
