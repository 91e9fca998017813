/** The program: its commands, the wiring of the proxy, and the signals that it handles. */
package brassbank;
