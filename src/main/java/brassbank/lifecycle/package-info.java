/**
 * What the proxy is now: its states, what each event makes of them, and the plan by which clients
 * leave. Values in, values out: no clock, no thread, no I/O, and no other package of the project.
 */
package brassbank.lifecycle;
